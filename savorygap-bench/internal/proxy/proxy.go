// Package proxy is a TCP proxy that injects network faults: it delays data, blocks
// it in one direction or both, and black-holes or resets connections.
//
// # Usage
//
//	p, err := proxy.Start(ctx, "127.0.0.1:7010", "127.0.0.1:7001")
//	p.Block(proxy.Upstream)
//	p.Resume()
package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"savorygap.example/lib/task"
)

const (
	bufferSize = 16 << 10
	// blockPollInterval is how often a blocked direction checks whether it may resume.
	blockPollInterval = 10 * time.Millisecond
	dialTimeout       = time.Second
)

// Direction is a direction of the data through the proxy, or both.
type Direction uint32

const (
	// Upstream is from the caller, which connected, to the target.
	Upstream Direction = 1 << iota
	// Downstream is from the target to the caller.
	Downstream
	// Both is Upstream and Downstream.
	Both = Upstream | Downstream
)

// Proxy forwards connections to one target.
type Proxy struct {
	target  string
	inbox   *task.Inbox[message]
	delay   atomic.Int64 // nanoseconds
	blocked atomic.Uint32
	epoch   atomic.Uint64 // sessions of an earlier epoch are black-holed
	address string
}

// message is a closed union; exactly one part is set.
type message struct {
	opened *session
	ended  *session
	reset  bool
}

// session is a connection of a caller and the connection to the target that serves
// it.
type session struct {
	caller net.Conn
	target net.Conn
	epoch  uint64
}

// Start listens on address and forwards connections to target until ctx ends.
func Start(ctx context.Context, address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %q for proxy to %q: %w", address, target, err)
	}
	p := &Proxy{target: target, inbox: task.NewInbox[message](16), address: listener.Addr().String()}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go p.run(ctx)
	go p.accept(listener)
	return p, nil
}

// Address returns the host:port on which the proxy listens.
func (p *Proxy) Address() string { return p.address }

// Resume ends SetDelay and Block and forwards the data that was held back.
func (p *Proxy) Resume() {
	p.delay.Store(0)
	p.blocked.Store(0)
}

// SetDelay delays every read of up to bufferSize bytes by d.
func (p *Proxy) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// Block holds data back in a direction until Resume, as a network partition does.
func (p *Proxy) Block(d Direction) { p.blocked.Store(uint32(d)) }

// Blackhole silently and permanently discards all data on the connections that are
// open. Connections opened later are not affected.
func (p *Proxy) Blackhole() { p.epoch.Add(1) }

// ResetConnections resets all open connections.
func (p *Proxy) ResetConnections() { p.inbox.Send(message{reset: true}) }

// run owns the open sessions.
func (p *Proxy) run(ctx context.Context) {
	defer p.inbox.Close()
	open := map[*session]bool{}
	for {
		select {
		case <-ctx.Done():
			for s := range open {
				s.close()
			}
			return
		case m := <-p.inbox.Messages():
			switch {
			case m.opened != nil:
				open[m.opened] = true
			case m.ended != nil:
				delete(open, m.ended)
			case m.reset:
				for s := range open {
					s.reset()
				}
			}
		}
	}
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(caller)
	}
}

func (p *Proxy) serve(caller net.Conn) {
	target, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		s := &session{caller: caller, target: caller}
		s.reset()
		return
	}
	s := &session{caller: caller, target: target, epoch: p.epoch.Load()}
	if !p.inbox.Send(message{opened: s}) {
		s.close()
		return
	}
	done := make(chan struct{}, 2)
	go p.forward(s, Upstream, caller, target, done)
	go p.forward(s, Downstream, target, caller, done)
	<-done
	<-done
	s.close()
	p.inbox.Send(message{ended: s})
}

// forward copies data in one direction until either end closes.
func (p *Proxy) forward(s *session, d Direction, from, to net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		p.waitUntilUnblocked(d)
		if s.epoch != p.epoch.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				s.close()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			closeWrite(to)
			return
		case err != nil:
			s.reset()
			return
		}
	}
}

// waitUntilUnblocked waits for the delay and then as long as the direction is
// blocked.
func (p *Proxy) waitUntilUnblocked(d Direction) {
	time.Sleep(time.Duration(p.delay.Load()))
	for p.blocked.Load()&uint32(d) != 0 {
		select {
		case <-p.inbox.Done():
			return
		case <-time.After(blockPollInterval):
		}
	}
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

func (s *session) close() {
	_ = s.caller.Close()
	_ = s.target.Close()
}

// reset closes both connections with a TCP reset instead of an orderly shutdown.
func (s *session) reset() {
	for _, c := range []net.Conn{s.caller, s.target} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	s.close()
}
