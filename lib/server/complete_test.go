package server_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/outcome"
)

// longUpload is more than the buffers of a loopback connection hold.
const longUpload = 8 << 20 // bytes

// startRawServer serves each connection once the head of its request has been read.
func startRawServer(t *testing.T, serve func(conn *net.TCPConn, rest *bufio.Reader)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(conn)
				for {
					line, err := reader.ReadString('\n')
					if err != nil || line == "\r\n" {
						break
					}
				}
				serve(conn.(*net.TCPConn), reader)
			}()
		}
	}()
	return listener.Addr().String()
}

// TestAttempt_ResetDuringUploadIsAnError guards against a part of a body that is passed on
// as the whole: the writer consumes the reset, and the reader sees an end.
func TestAttempt_ResetDuringUploadIsAnError(t *testing.T) {
	h := newHarness(t)
	address := startRawServer(t, func(conn *net.TCPConn, _ *bufio.Reader) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart of the body")
		time.Sleep(5 * time.Millisecond)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
	h.announce(t, address, "i", false)
	for range 20 {
		response, err := h.runner.Attempt(h.ctx, newCall(address, "POST", longUpload), bytes.NewReader(make([]byte, longUpload)))
		if err != nil {
			var unknown *outcome.UnknownError
			must.True(t, errors.As(err, &unknown))
			continue
		}
		_, err = io.ReadAll(response.Body())
		must.Error(t, err)
		response.Finish(err)
	}
}

// TestAttempt_ResponseThatEndsWithItsConnectionIsWhole guards against a response without a
// length that is refused although the request was written to its end.
func TestAttempt_ResponseThatEndsWithItsConnectionIsWhole(t *testing.T) {
	h := newHarness(t)
	address := startRawServer(t, func(conn *net.TCPConn, rest *bufio.Reader) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = conn.CloseWrite()
		_, _ = io.CopyN(io.Discard, rest, longUpload)
		_ = conn.Close()
	})
	h.announce(t, address, "i", false)
	response, err := h.runner.Attempt(h.ctx, newCall(address, "POST", longUpload), bytes.NewReader(make([]byte, longUpload)))
	must.NoError(t, err)
	body, err := io.ReadAll(response.Body())
	must.NoError(t, err)
	must.Eq(t, "whole", string(body))
	response.Finish(nil)
}

// TestAttempt_InvalidStatusIsNoResponse guards against a status that no response has.
func TestAttempt_InvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "+20", "20 ", "2000", " 200"} {
		h := newHarness(t)
		address := startRawServer(t, func(conn *net.TCPConn, _ *bufio.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ncd")
			_ = conn.Close()
		})
		h.announce(t, address, "i", false)
		_, err := h.runner.Attempt(h.ctx, newCall(address, "GET", 0), nil)
		var unknown *outcome.UnknownError
		must.True(t, errors.As(err, &unknown), must.Sprintf("%q", status))
	}
}

// TestAttempt_HeadWithABodyReleasesItsSlot guards against a slot that is held for 5 s after the
// response to a HEAD request that has a body and whose response states no length: the end of the
// request was waited for twice.
func TestAttempt_HeadWithABodyReleasesItsSlot(t *testing.T) {
	h := newHarness(t)
	address := startRawServer(t, func(conn *net.TCPConn, rest *bufio.Reader) {
		_, _ = io.CopyN(io.Discard, rest, 3)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
		_, _ = io.Copy(io.Discard, rest)
	})
	h.announce(t, address, "i", false)
	response, err := h.runner.Attempt(h.ctx, newCall(address, "HEAD", 3), strings.NewReader("abc"))
	must.NoError(t, err)
	_, err = io.ReadAll(response.Body())
	must.NoError(t, err)
	startedAt := time.Now()
	response.Finish(nil)
	must.Less(t, 2*time.Second, time.Since(startedAt))
}
