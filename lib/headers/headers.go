// Package headers removes hop-by-hop fields from HTTP headers.
//
// # Usage
//
//	forwarded := headers.RemoveHopByHop(request.Header)
package headers

import (
	"net/http"
	"strings"
)

// hopByHop lists the fields that apply to a single connection.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect", "Proxy-Authenticate", "Proxy-Authorization",
}

// RemoveHopByHop deletes the hop-by-hop fields, including those named in
// Connection, from h and returns it.
func RemoveHopByHop(h http.Header) http.Header {
	for _, listed := range h["Connection"] {
		for name := range strings.SplitSeq(listed, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
	return h
}
