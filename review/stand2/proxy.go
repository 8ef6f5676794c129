package main

import (
	"net"
	"sync/atomic"
	"time"
)

// holdInterval is how often a held connection looks whether the cut has ended.
const holdInterval = 5 * time.Millisecond

// storeProxy is the path of one machine to the store. While it is cut, bytes in both
// directions are held and new connections get no answer.
type storeProxy struct {
	listener net.Listener
	target   string
	cut      atomic.Bool
}

func newStoreProxy(address, target string) (*storeProxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &storeProxy{listener: listener, target: target}
	go p.accept()
	return p, nil
}

func (p *storeProxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *storeProxy) serve(conn net.Conn) {
	p.hold()
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	go p.copy(target, conn)
	p.copy(conn, target)
}

// hold waits while the machine is cut off.
func (p *storeProxy) hold() {
	for p.cut.Load() {
		time.Sleep(holdInterval)
	}
}

func (p *storeProxy) copy(to, from net.Conn) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.hold()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
