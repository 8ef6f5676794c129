package proxy_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/savorygap-bench/internal/proxy"
)

// quietPeriod is how long a test waits for data that must not arrive.
const quietPeriod = 100 * time.Millisecond

// echo starts a TCP echo server and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, listener.Close()) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func start(t *testing.T) *proxy.Proxy {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	p, err := proxy.Start(ctx, "127.0.0.1:0", echo(t))
	must.NoError(t, err)
	return p
}

// dial connects through the proxy and checks that the connection works.
func dial(t *testing.T, p *proxy.Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.Address())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, exchange(conn, "a", time.Second))
	return conn
}

func exchange(conn net.Conn, text string, timeout time.Duration) error {
	if _, err := conn.Write([]byte(text)); err != nil {
		return err
	}
	return read(conn, timeout)
}

func read(conn net.Conn, timeout time.Duration) error {
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}

func TestBlock_HoldsDataUntilResume(t *testing.T) {
	p := start(t)
	conn := dial(t, p)
	p.Block(proxy.Downstream)
	must.True(t, errors.Is(exchange(conn, "b", quietPeriod), os.ErrDeadlineExceeded))
	p.Resume()
	must.NoError(t, read(conn, time.Second))
}

func TestBlackhole_AffectsOpenConnectionsOnly(t *testing.T) {
	p := start(t)
	conn := dial(t, p)
	p.Blackhole()
	must.True(t, errors.Is(exchange(conn, "b", quietPeriod), os.ErrDeadlineExceeded))
	dial(t, p)
	must.True(t, errors.Is(read(conn, quietPeriod), os.ErrDeadlineExceeded))
}

func TestResetConnections_ResetsOpenConnections(t *testing.T) {
	p := start(t)
	conn := dial(t, p)
	p.ResetConnections()
	must.True(t, errors.Is(read(conn, time.Second), syscall.ECONNRESET))
	dial(t, p)
}

func TestSetDelay_DelaysData(t *testing.T) {
	p := start(t)
	conn := dial(t, p)
	p.SetDelay(quietPeriod)
	started := time.Now()
	must.NoError(t, exchange(conn, "b", 2*time.Second))
	must.Greater(t, quietPeriod, time.Since(started))
}
