package responsehead_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/responsehead"
)

const bufferSize = 64 // bytes; most heads below are longer

// TestReadResponse_ConsumesTheHeadOnly guards against a body, or a following response, that
// loses its first bytes, wherever the reads from the connection end.
func TestReadResponse_ConsumesTheHeadOnly(t *testing.T) {
	long := strings.Repeat("long ", 1000)
	const early = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	first := "HTTP/1.1 200 OK\r\nX-Long: " + long + "\r\nContent-Length: 3\r\n\r\n"
	const second = "HTTP/1.0 404\nX-Empty:\n!#$%&'*+-.^_`|~09azAZ: b\nContent-Length: 0\n\n"
	for name, wrap := range map[string]func(io.Reader) io.Reader{
		"at once": func(r io.Reader) io.Reader { return r }, "halves": iotest.HalfReader, "bytes": iotest.OneByteReader, "with the error": iotest.DataErrReader,
	} {
		r := responsehead.NewReader(wrap(strings.NewReader(early+first+"abc"+second)), bufferSize)
		response, err := r.ReadResponse(nil)
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, 103, response.StatusCode)
		response, err = r.ReadResponse(nil)
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, long[:len(long)-1], response.Header.Get("X-Long"))
		body, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.Eq(t, "abc", string(body), must.Sprint(name))
		response, err = r.ReadResponse(nil)
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, []string{"b"}, response.Header["!#$%&'*+-.^_`|~09azaz"], must.Sprint(name, response.Header))
		must.Eq(t, 0, r.Buffered())
		_, err = r.ReadResponse(nil)
		must.ErrorIs(t, err, io.EOF)
	}
}

// TestReadResponse_InvalidNameIsAnError guards against a line that net/http accepts: with a
// space in its name, or as the continuation of the line before.
func TestReadResponse_InvalidNameIsAnError(t *testing.T) {
	for _, line := range []string{"X Note: a", "X-Note : a", " X-Note: a", "\tX-Note: a", " ", " a"} {
		for _, end := range []string{"\r\n", "\n"} {
			text := strings.Join([]string{"HTTP/1.1 200 OK", "X-Long: " + strings.Repeat("a", 3*bufferSize), line, "Content-Length: 2", "", "ab"}, end)
			_, err := responsehead.NewReader(strings.NewReader(text), bufferSize).ReadResponse(nil)
			var invalid *responsehead.InvalidNameError
			must.True(t, errors.As(err, &invalid), must.Sprintf("%q: %v", text, err))
		}
	}
}

// TestCheckNames_RequiresTokens checks every byte that a field name may or may not hold.
func TestCheckNames_RequiresTokens(t *testing.T) {
	must.NoError(t, responsehead.CheckNames(nil))
	must.Error(t, responsehead.CheckNames(http.Header{"": nil}))
	for c := range 256 {
		isToken := c > ' ' && c < 0x7f && !strings.ContainsRune(`"(),/:;<=>?@[\]{}`, rune(c))
		err := responsehead.CheckNames(http.Header{"Server": nil, "X" + string([]byte{byte(c)}) + "y": nil})
		must.Eq(t, isToken, err == nil, must.Sprintf("%q", rune(c)))
	}
}
