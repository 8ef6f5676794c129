package cmd

import (
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"savorygap.example/lib/certs"
	"savorygap.example/lib/operator"
)

const dialIdle = 30 * time.Second

// options are what every command that speaks to a node takes.
type options struct {
	node        string
	name        string
	authorities string
	certificate string
	key         string
	output      string
}

func (o *options) flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "node", Usage: "host:port of a node's resource API", Value: "127.0.0.1:7004", Sources: cli.EnvVars("SAVORYGAP_NODE"), Destination: &o.node},
		&cli.StringFlag{Name: "node-name", Usage: "host name in the node's certificate", Sources: cli.EnvVars("SAVORYGAP_NODE_NAME"), Destination: &o.name},
		&cli.StringFlag{Name: "authorities", Usage: "PEM file with the trusted authorities", Sources: cli.EnvVars("SAVORYGAP_AUTHORITIES"), Destination: &o.authorities},
		&cli.StringFlag{Name: "certificate", Usage: "PEM file with the operator's certificate", Sources: cli.EnvVars("SAVORYGAP_CERTIFICATE"), Destination: &o.certificate},
		&cli.StringFlag{Name: "key", Usage: "PEM file with the key of the certificate", Sources: cli.EnvVars("SAVORYGAP_KEY"), Destination: &o.key},
		&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "yaml, json or table", Value: "table", Destination: &o.output},
	}
}

// client returns the client of the resource API.
func (o *options) client() (*operator.Client, error) {
	if o.authorities == "" || o.certificate == "" || o.key == "" {
		return nil, &usageError{message: "a certificate is needed: set --authorities, --certificate and --key, or SAVORYGAP_AUTHORITIES, SAVORYGAP_CERTIFICATE and SAVORYGAP_KEY"}
	}
	ring, err := certs.Load(o.authorities, o.certificate, o.key)
	if err != nil {
		return nil, err
	}
	name := o.name
	if name == "" {
		name, _, _ = strings.Cut(o.node, ":")
	}
	transport := &http.Transport{TLSClientConfig: ring.ClientConfig(name, "http/1.1"), IdleConnTimeout: dialIdle}
	return operator.NewClient("https://"+o.node, &http.Client{Transport: transport}), nil
}
