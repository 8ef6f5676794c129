package server_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/outcome"
	"savorygap.example/lib/responsehead"
)

// attemptRaw sends a request to a server that sends the given text and closes the connection.
// It returns the body of the response, and the error from the attempt or from reading the body.
func attemptRaw(t *testing.T, text string) (string, error) {
	t.Helper()
	h := newHarness(t)
	address := startRawServer(t, func(conn *net.TCPConn, _ *bufio.Reader) {
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	})
	h.announce(t, address, "i", false)
	response, err := h.runner.Attempt(h.ctx, newCall(address, "GET", 0), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body())
	response.Finish(err)
	return string(body), err
}

// TestAttempt_InvalidFieldNameIsNoResponse guards against a header line that is passed on although
// its field name is invalid, and against a body that is read with another framing than the
// server meant.
func TestAttempt_InvalidFieldNameIsNoResponse(t *testing.T) {
	for _, line := range []string{
		"X Note: a", "X-Note : a", " X-Note: a", "\tX-Note: a", "X\tNote: a", "X\x00Note: a", "X\rNote: a", "X-Note\x7f: a",
		"Content-Length : 2", " Content-Length: 2", "Transfer-Encoding : chunked",
	} {
		for _, text := range []string{
			"HTTP/1.1 200 OK\r\nX-First: a\r\n" + line + "\r\nContent-Length: 2\r\n\r\nab",
			"HTTP/1.1 200 OK\r\nX-First: a\r\n" + line + "\r\n\r\nab",
			"HTTP/1.1 103 Early Hints\r\nLink: a\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
		} {
			_, err := attemptRaw(t, text)
			var unknown *outcome.UnknownError
			must.True(t, errors.As(err, &unknown), must.Sprintf("%q: %v", text, err))
		}
	}
}

// TestAttempt_InvalidTrailerIsAnError guards against a chunked body that counts as whole although
// bytes that are not HTTP follow it.
func TestAttempt_InvalidTrailerIsAnError(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-Sum: 1\r\n"
	for _, line := range []string{"X Note: a", "X-Note : a", "Content-Length : 2"} {
		_, err := attemptRaw(t, start+line+"\r\n\r\n")
		var invalid *responsehead.InvalidNameError
		must.True(t, errors.As(err, &invalid), must.Sprintf("%q: %v", line, err))
	}
	for _, line := range []string{"X\tNote: a", "X\x01Note: a", "X-Note"} {
		_, err := attemptRaw(t, start+line+"\r\n\r\n")
		must.Error(t, err, must.Sprintf("%q", line))
	}
	body, err := attemptRaw(t, start+"X-Note: a\r\n\r\n")
	must.NoError(t, err)
	must.Eq(t, "ab", body)
}
