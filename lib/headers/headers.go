// Package headers separates header fields that travel from end to end from
// those that concern one connection.
//
// # Usage
//
//	forwarded := headers.EndToEnd(request.Header)
package headers

import (
	"net/http"
	"strings"
)

var perConnection = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect", "Proxy-Authenticate", "Proxy-Authorization",
}

// RemoveHopByHop removes the fields that concern one connection, and those that
// Connection names, from h and returns it.
func RemoveHopByHop(h http.Header) http.Header {
	for _, listed := range h["Connection"] {
		for name := range strings.SplitSeq(listed, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range perConnection {
		delete(h, name)
	}
	return h
}
