package cmd

import (
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"savorygap.example/lib/certs"
	"savorygap.example/lib/operator"
)

const idleTimeout = 30 * time.Second

// options holds the flags that all commands share.
type options struct {
	nodeAddress     string
	nodeName        string
	caFile          string
	certificateFile string
	keyFile         string
	output          string
}

func (o *options) flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "node", Usage: "host:port of a node's resource API", Value: "127.0.0.1:7004", Sources: cli.EnvVars("SAVORYGAP_NODE"), Destination: &o.nodeAddress},
		&cli.StringFlag{Name: "node-name", Usage: "host name in the node's certificate", Sources: cli.EnvVars("SAVORYGAP_NODE_NAME"), Destination: &o.nodeName},
		&cli.StringFlag{Name: "authorities", Usage: "PEM file with the trusted CA certificates", Sources: cli.EnvVars("SAVORYGAP_AUTHORITIES"), Destination: &o.caFile},
		&cli.StringFlag{Name: "certificate", Usage: "PEM file with the operator's certificate", Sources: cli.EnvVars("SAVORYGAP_CERTIFICATE"), Destination: &o.certificateFile},
		&cli.StringFlag{Name: "key", Usage: "PEM file with the private key of the certificate", Sources: cli.EnvVars("SAVORYGAP_KEY"), Destination: &o.keyFile},
		&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "yaml, json or table", Value: "table", Destination: &o.output},
	}
}

// client returns a client of the resource API. It fails unless the flags name the
// CA certificates, a certificate and its key.
func (o *options) client() (*operator.Client, error) {
	if o.caFile == "" || o.certificateFile == "" || o.keyFile == "" {
		return nil, &usageError{message: "a certificate is needed: set --authorities, --certificate and --key, or SAVORYGAP_AUTHORITIES, SAVORYGAP_CERTIFICATE and SAVORYGAP_KEY"}
	}
	credentials, err := certs.Load(o.caFile, o.certificateFile, o.keyFile)
	if err != nil {
		return nil, err
	}
	serverName := o.nodeName
	if serverName == "" {
		serverName, _, _ = strings.Cut(o.nodeAddress, ":")
	}
	transport := &http.Transport{TLSClientConfig: credentials.ClientConfig(serverName, "http/1.1"), IdleConnTimeout: idleTimeout}
	return operator.NewClient("https://"+o.nodeAddress, &http.Client{Transport: transport}), nil
}
