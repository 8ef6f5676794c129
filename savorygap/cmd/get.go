package cmd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"savorygap.example/lib/document"
	"savorygap.example/lib/operator"
	"savorygap.example/lib/wire"
)

func getCommand(o *options, s streams) *cli.Command {
	effective := false
	return &cli.Command{
		Name: "get", Usage: "show resources, or the effective rules of a branch", ArgsUsage: "[KIND[/NAME]]",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "effective", Usage: "show the rules of a branch with the origin of each value", Destination: &effective}},
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			key := wire.ParseKey(c.Args().First())
			if effective {
				return showEffectiveRules(ctx, client, o, s, key)
			}
			return showResources(ctx, client, o, s, key)
		},
	}
}

func showResources(ctx context.Context, client *operator.Client, o *options, s streams, key document.Key) error {
	if key.Name() != "" {
		r, err := client.Get(ctx, key)
		if err != nil {
			return err
		}
		return printResources(s.out, o.output, []document.Resource{r})
	}
	_, resources, err := client.List(ctx, string(key.Kind()))
	if err != nil {
		return err
	}
	return printResources(s.out, o.output, resources)
}

func printResources(w io.Writer, format string, resources []document.Resource) error {
	switch format {
	case "yaml":
		text, err := wire.EncodeYAML(resources)
		if err != nil {
			return err
		}
		_, err = w.Write(text)
		return err
	case "json":
		for _, r := range resources {
			raw, err := wire.EncodeResource(r)
			if err != nil {
				return err
			}
			if _, err := fmt.Fprintf(w, "%s\n", raw); err != nil {
				return err
			}
		}
		return nil
	case "table":
		return printResourceTable(w, resources)
	}
	return &usageError{message: fmt.Sprintf("unknown output format %q: use yaml, json or table", format)}
}

func printResourceTable(w io.Writer, resources []document.Resource) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "KIND\tNAME\tDETAILS")
	for _, r := range resources {
		fmt.Fprintf(t, "%s\t%s\t%s\n", r.Key().Kind(), r.Key().Name(), describeResource(r))
	}
	return t.Flush()
}

func describeResource(r document.Resource) string {
	if v, ok := r.Service(); ok {
		return "branch " + v.Branch() + ", prefix " + v.Prefix()
	}
	if v, ok := r.DataCentre(); ok {
		state := "in service"
		if v.OutOfService() {
			state = "OUT of service"
		}
		return "region " + v.Region() + ", " + state
	}
	if v, ok := r.Branch(); ok {
		return "hosts " + strings.Join(v.Hosts(), ", ") + fmt.Sprintf(", %d rules", len(v.Rules()))
	}
	v, _ := r.Rulebook()
	return fmt.Sprintf("%d rules", len(v.Rules()))
}

func showEffectiveRules(ctx context.Context, client *operator.Client, o *options, s streams, key document.Key) error {
	branch := key.Name()
	if branch == "" {
		branch = string(key.Kind())
	}
	form, err := client.Effective(ctx, branch)
	if err != nil {
		return err
	}
	if o.output != "table" {
		return printForm(s.out, o.output, form)
	}
	t := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "RULE\tFIELD\tVALUE\tORIGIN")
	for _, r := range form.Rules {
		for _, v := range r.Values {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", r.Name, v.Field, v.Value, v.Origin)
		}
	}
	return t.Flush()
}
