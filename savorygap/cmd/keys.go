package cmd

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/urfave/cli/v3"

	"savorygap.example/lib/certs"
)

const (
	authorityValidity   = 10 * 365 * 24 * time.Hour
	certificateValidity = 365 * 24 * time.Hour
)

func keysCommand(s streams) *cli.Command {
	var dir string
	dirFlag := &cli.StringFlag{Name: "dir", Usage: "directory of the certificates and keys", Value: "keys", Destination: &dir}
	return &cli.Command{
		Name: "keys", Usage: "create certificate authorities and issue certificates",
		Commands: []*cli.Command{
			{
				Name: "authority", Usage: "create a certificate authority", Flags: []cli.Flag{dirFlag},
				Action: func(context.Context, *cli.Command) error { return createAuthority(s, dir) },
			},
			issueCommand(s, dirFlag, &dir),
		},
	}
}

func createAuthority(s streams, dir string) error {
	authority, err := certs.NewAuthority(time.Now(), authorityValidity)
	if err != nil {
		return err
	}
	if err := authority.Save(dir); err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "wrote %s/ca.pem and %s/ca-key.pem\n", dir, dir)
	return err
}

func issueCommand(s streams, dirFlag cli.Flag, dir *string) *cli.Command {
	var role string
	var addresses []string
	return &cli.Command{
		Name: "issue", Usage: "issue a certificate for a host or an operator", ArgsUsage: "NAME ...",
		Flags: []cli.Flag{
			dirFlag,
			&cli.StringFlag{Name: "role", Usage: "node, operate or read", Value: string(certs.RoleNode), Destination: &role},
			&cli.StringSliceFlag{Name: "address", Usage: "IP address to include in the certificate", Destination: &addresses},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return issue(s, *dir, certs.Role(role), addresses, c.Args().Slice())
		},
	}
}

func issue(s streams, dir string, role certs.Role, addresses, names []string) error {
	if role != certs.RoleNode && role != certs.RoleOperate && role != certs.RoleRead {
		return &usageError{message: fmt.Sprintf("unknown role %q: use node, operate or read", role)}
	}
	if len(names) == 0 {
		return &usageError{message: "name at least one host or operator to issue a certificate for"}
	}
	authority, err := certs.LoadAuthority(dir)
	if err != nil {
		return fmt.Errorf("load the certificate authority (create one with \"savorygap keys authority\"): %w", err)
	}
	ips, err := parseAddresses(addresses)
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := authority.Issue(dir, name, role, ips, time.Now(), certificateValidity); err != nil {
			return err
		}
		fmt.Fprintf(s.out, "wrote %s/%s.pem and %s/%s-key.pem for role %s\n", dir, name, dir, name, role)
	}
	return nil
}

func parseAddresses(texts []string) ([]net.IP, error) {
	ips := make([]net.IP, 0, len(texts))
	for _, text := range texts {
		ip := net.ParseIP(text)
		if ip == nil {
			return nil, &usageError{message: fmt.Sprintf("address %q is not an IP address", text)}
		}
		ips = append(ips, ip)
	}
	return ips, nil
}
