// Package proxy is a loopback proxy for TCP that spoils what passes through it:
// it delays bytes, holds them back in one direction or both, loses connections
// without a sign, or resets them.
//
// # Usage
//
//	p, err := proxy.Start(ctx, "127.0.0.1:7010", "127.0.0.1:7001")
//	p.Hold(proxy.Up)
//	p.Pass()
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
	// holdCheck is how often a direction that is held looks whether it may go on.
	holdCheck   = 10 * time.Millisecond
	dialTimeout = time.Second
)

// Direction is a way through the proxy.
type Direction uint32

// The directions.
const (
	// Upstream leads from who connected to the target.
	Upstream Direction = 1 << iota
	// Downstream leads back.
	Downstream
	// Both is both.
	Both = Upstream | Downstream
)

// Proxy passes connections on to one target.
type Proxy struct {
	target  string
	inbox   *task.Inbox[message]
	delay   atomic.Int64 // nanoseconds
	held    atomic.Uint32
	epoch   atomic.Uint64
	address string
}

// message is a closed union; exactly one part is set.
type message struct {
	opened *pair
	ended  *pair
	reset  bool
}

// pair is the two connections of one passage.
type pair struct {
	caller net.Conn
	target net.Conn
	epoch  uint64
}

// Start listens on an address and passes connections on until ctx ends.
func Start(ctx context.Context, address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("proxy to %q: %w", target, err)
	}
	p := &Proxy{target: target, inbox: task.NewInbox[message](16), address: listener.Addr().String()}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go p.run(ctx)
	go p.accept(listener)
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.address }

// Resume ends delays and lets held bytes go on.
func (p *Proxy) Resume() {
	p.delay.Store(0)
	p.held.Store(0)
}

// SetDelay holds every piece up for d.
func (p *Proxy) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// Block keeps bytes in a direction back until Pass, as a partition does.
func (p *Proxy) Block(d Direction) { p.held.Store(uint32(d)) }

// Blackhole loses what passes over the connections that are open now, without a
// sign and for good; new ones work.
func (p *Proxy) Blackhole() { p.epoch.Add(1) }

// ResetConnections resets the connections that are open now.
func (p *Proxy) ResetConnections() { p.inbox.Send(message{reset: true}) }

// run owns the open connections.
func (p *Proxy) run(ctx context.Context) {
	defer p.inbox.Close()
	open := map[*pair]bool{}
	for {
		select {
		case <-ctx.Done():
			for one := range open {
				one.close()
			}
			return
		case m := <-p.inbox.Messages():
			switch {
			case m.opened != nil:
				open[m.opened] = true
			case m.ended != nil:
				delete(open, m.ended)
			case m.reset:
				for one := range open {
					one.reset()
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
		one := &pair{caller: caller, target: caller}
		one.reset()
		return
	}
	one := &pair{caller: caller, target: target, epoch: p.epoch.Load()}
	if !p.inbox.Send(message{opened: one}) {
		one.close()
		return
	}
	done := make(chan struct{}, 2)
	go p.pump(one, Upstream, caller, target, done)
	go p.pump(one, Downstream, target, caller, done)
	<-done
	<-done
	one.close()
	p.inbox.Send(message{ended: one})
}

// pump passes bytes in one direction until either end closes.
func (p *Proxy) pump(one *pair, d Direction, from, to net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		p.wait(d)
		if one.epoch != p.epoch.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				one.close()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			closeWrite(to)
			return
		case err != nil:
			one.reset()
			return
		}
	}
}

// wait holds a piece up as long as the direction is held or delayed.
func (p *Proxy) wait(d Direction) {
	time.Sleep(time.Duration(p.delay.Load()))
	for p.held.Load()&uint32(d) != 0 {
		select {
		case <-p.inbox.Done():
			return
		case <-time.After(holdCheck):
		}
	}
}

func closeWrite(c net.Conn) {
	if half, ok := c.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
}

func (o *pair) close() {
	_ = o.caller.Close()
	_ = o.target.Close()
}

// reset makes both ends see a reset in place of an orderly end.
func (o *pair) reset() {
	for _, c := range []net.Conn{o.caller, o.target} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	o.close()
}
