package serverproxy

import (
	"context"
	"time"

	"savorygap.example/lib/headernames"
	"savorygap.example/lib/httpclient"
	"savorygap.example/lib/upstream"
)

// Config holds the proxy's static settings.
type Config struct {
	node       string
	service    string
	address    string
	dataCentre string
	names      headernames.Set
	dial       func(ctx context.Context, address string) (*httpclient.Conn, error)
	heldFor    func(r *upstream.Request) time.Duration
	isNestedIn func(id, parent string) bool
	extends    func(id, of string) bool // nil without downstream admission
	judged     func(Judgement)          // nil without rollouts
}

// NewConfig returns the settings of the proxy on node for the server of service
// at address. The bodies of the server's responses take their memory from memory.
func NewConfig(node, service, address, dataCentre string, names headernames.Set, memory *upstream.BodyMemory) Config {
	return Config{node: node, service: service, address: address, dataCentre: dataCentre, names: names, heldFor: func(*upstream.Request) time.Duration { return 0 }, isNestedIn: func(string, string) bool { return false }}.WithDial(
		func(ctx context.Context, address string) (*httpclient.Conn, error) {
			return httpclient.Dial(ctx, address, memory)
		})
}

// WithDial returns the settings with another function that connects to the server.
func (c Config) WithDial(dial func(ctx context.Context, address string) (*httpclient.Conn, error)) Config {
	c.dial = dial
	return c
}

// WithQuarantine returns the settings with a function that tells how long a request is not
// to be sent to any server, 0 if it may be sent.
func (c Config) WithQuarantine(heldFor func(r *upstream.Request) time.Duration) Config {
	c.heldFor = heldFor
	return c
}
