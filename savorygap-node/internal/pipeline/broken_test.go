package pipeline_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestBrokenAnswer_ReachesNoCaller guards against a caller that gets an answer that its server
// did not give: a line that is no header field, a body read with another framing, or a part
// of a body as the whole. The request enters at another host than that of the server.
func TestBrokenAnswer_ReachesNoCaller(t *testing.T) {
	const line = "HTTP/1.1 200 OK\r\n"
	const fields = "Savorygap-Attempt-Id: {id}\r\nSavorygap-Server-Seal: s\r\n"
	const sound = line + fields + "Content-Length: 4\r\n\r\npart"
	for name, answer := range map[string]struct {
		text  string
		reset bool
	}{
		"space in a name":             {text: line + fields + "X Note: a\r\nContent-Length: 4\r\n\r\npart"},
		"space after a name":          {text: line + fields + "Content-Length : 9\r\n\r\npart"},
		"space before a name":         {text: line + fields + " Content-Length: 9\r\n\r\npart"},
		"control byte in a name":      {text: line + fields + "X\x01Note: a\r\nContent-Length: 4\r\n\r\npart"},
		"space in an encoding's name": {text: line + fields + "Transfer-Encoding : chunked\r\n\r\n9\r\npart"},
		"space in a trailer":          {text: line + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nX Note: a\r\n\r\n"},
		"space in an interim name":    {text: "HTTP/1.1 103 Early Hints\r\nX Note: a\r\n\r\n" + sound},
		"status 000":                  {text: strings.Replace(sound, "200", "000", 1)},
		"reset during the upload":     {text: line + fields + "\r\npart", reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				requireOwnFailure(t, answer.text, answer.reset, method)
			}
		})
	}
}

// requireOwnFailure sends one request to a server that answers with the given text, and
// requires a failure of the node in its place that does not state that the request was not run.
func requireOwnFailure(t *testing.T, text string, reset bool, method string) {
	t.Helper()
	// longUpload is more than the buffers of a loopback connection hold.
	const longUpload = 8 << 20 // bytes
	cl := newCluster(t)
	patient := strings.NewReplacer(`"MaxBodyBytes":1048576`, `"MaxBodyBytes":16777216`, `"TimeoutS":0.8`, `"TimeoutS":8`, `"TimeoutS":1`, `"TimeoutS":8`)
	cl.store.Put("op/config", []byte(patient.Replace(string(configuration(2, "")))))
	entry, owner := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 0)
	owner.server.SetRawAnswer(text, reset)
	path, body := "/read/1", ""
	if method == http.MethodPost {
		path, body = "/order/1", strings.Repeat("x", longUpload)
	}
	r, err := entry.sendWithin(context.Background(), "8000", method, path, "id-1", body)
	must.NoError(t, err)
	must.SliceContains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, r.status, must.Sprint(method, r))
	must.Eq(t, "", r.header.Get("Savorygap-Server-Seal"))
	must.StrNotContains(t, r.body, "part")
	must.Eq(t, []string{"id-1"}, takeRequestIDs(owner.server))
}
