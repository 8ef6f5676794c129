package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"savorygap.example/platform"
)

// Exit codes of check-config.
const (
	exitFindings = 1
	exitErrors   = 2
)

// exitCodeError ends the program with an exit code and no message of its own.
type exitCodeError struct {
	code int
}

// Error implements error.
func (e *exitCodeError) Error() string { return fmt.Sprintf("exit code %d", e.code) }

func checkConfigCommand(stdout, stderr io.Writer) *cli.Command {
	var inForce string
	var asJSON bool
	return &cli.Command{
		Name:      "check-config",
		Usage:     "check a configuration of the operators; exit code 1 for findings, 2 for errors",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "in-force", Usage: "file with the configuration in force, to list the differences", Destination: &inForce},
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON", Destination: &asJSON},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			report, err := checkFiles(c.Args().Slice(), inForce)
			if err == nil {
				err = printReport(stdout, report, asJSON)
			}
			if err != nil {
				fmt.Fprintf(stderr, "savorygap-node: %v\n", err)
				return &exitCodeError{code: exitErrors}
			}
			switch {
			case len(report.Errors()) > 0:
				return &exitCodeError{code: exitErrors}
			case len(report.Findings()) > 0:
				return &exitCodeError{code: exitFindings}
			}
			return nil
		},
	}
}

func checkFiles(paths []string, inForce string) (platform.ConfigurationReport, error) {
	if len(paths) != 1 {
		return platform.ConfigurationReport{}, errors.New("check-config needs one file")
	}
	text, err := os.ReadFile(paths[0])
	if err != nil {
		return platform.ConfigurationReport{}, err
	}
	if inForce == "" {
		return platform.CheckConfiguration(text, nil), nil
	}
	old, err := os.ReadFile(inForce)
	if err != nil {
		return platform.ConfigurationReport{}, err
	}
	return platform.CheckConfiguration(text, old), nil
}

// reportJSON is the report in the form of --json.
type reportJSON struct {
	Errors      []string `json:"errors"`
	Findings    []string `json:"findings"`
	Differences []string `json:"differences"`
}

func printReport(w io.Writer, report platform.ConfigurationReport, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetEscapeHTML(false)
		encoder.SetIndent("", "  ")
		return encoder.Encode(reportJSON{Errors: orEmpty(report.Errors()), Findings: orEmpty(report.Findings()), Differences: orEmpty(report.Differences())})
	}
	for _, part := range []struct {
		label string
		lines []string
	}{{"error", report.Errors()}, {"finding", report.Findings()}, {"difference", report.Differences()}} {
		for _, line := range part.lines {
			if _, err := fmt.Fprintf(w, "%s: %s\n", part.label, line); err != nil {
				return err
			}
		}
	}
	return nil
}

// orEmpty returns the list, which is encoded as [] rather than null.
func orEmpty(list []string) []string {
	if list == nil {
		return []string{}
	}
	return list
}
