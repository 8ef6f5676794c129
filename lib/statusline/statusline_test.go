package statusline_test

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/statusline"
)

// TestCheck_ShortLineNeedsNoMoreInput guards against a wait for the rest of a line that
// has ended, on a connection that the server keeps open.
func TestCheck_ShortLineNeedsNoMoreInput(t *testing.T) {
	for _, text := range []string{"\r\n", "garbage\r\n\r\n", "HTTP/1.1 20\n", "HTTP/1.1 2000"} {
		reader, writer := io.Pipe()
		go func() { _, _ = io.WriteString(writer, text) }()
		done := make(chan error, 1)
		go func() { done <- statusline.Check(bufio.NewReader(reader)) }()
		select {
		case err := <-done:
			var invalid *statusline.InvalidError
			must.True(t, errors.As(err, &invalid), must.Sprintf("%q", text))
		case <-time.After(2 * time.Second):
			t.Fatalf("%q: no result within 2 s", text)
		}
		must.NoError(t, writer.Close())
	}
}

// TestCheck_ConsumesNothing guards against a response that loses its first bytes.
func TestCheck_ConsumesNothing(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.0 599\r\n", "HTTP/1.1 100\n"} {
		r := bufio.NewReader(strings.NewReader(line))
		must.NoError(t, statusline.Check(r))
		rest, err := io.ReadAll(r)
		must.NoError(t, err)
		must.Eq(t, line, string(rest))
	}
}
