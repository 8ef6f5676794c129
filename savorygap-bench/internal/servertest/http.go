package servertest

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"savorygap.example/lib/task"
)

// Header fields that control how the fake server handles a request.
const (
	// HeaderRequestID identifies the request in Stats.
	HeaderRequestID = "X-Request-Id"
	// HeaderWork multiplies the service time.
	HeaderWork = "X-Work"
	// HeaderSize is the size of the requested response body in bytes.
	HeaderSize = "X-Size"
	// HeaderDigest, in the response, is the xxHash64 of the request body.
	HeaderDigest = "X-Digest"
)

const chunkSize = 16 << 10 // bytes

// Handler returns the HTTP handler of the server. A request that its caller cancels
// frees its slot.
func (s *Server) Handler() http.Handler {
	return http.HandlerFunc(s.serveRequest)
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	workFactor, err := strconv.ParseFloat(r.Header.Get(HeaderWork), 64)
	if err != nil || workFactor <= 0 {
		workFactor = 1
	}
	a := &arrival{id: r.Header.Get(HeaderRequestID), workFactor: workFactor, reply: task.NewReply[decision]()}
	if !s.inbox.Send(message{arrival: a}) {
		http.Error(w, "fake server has stopped", http.StatusServiceUnavailable)
		return
	}
	d, ok := a.reply.Wait(r.Context(), s.inbox.Done())
	defer s.inbox.Send(message{completed: true})
	if !ok {
		return
	}
	if d.status != http.StatusOK {
		http.Error(w, "fake server refused the request", d.status)
		return
	}
	digest := xxhash.New()
	if _, err := io.Copy(digest, r.Body); err != nil {
		return
	}
	if !waitServiceTime(r, d.duration) {
		return
	}
	w.Header().Set(HeaderDigest, strconv.FormatUint(digest.Sum64(), 16))
	writeBody(w, r, d.truncate)
}

// waitServiceTime waits for the service time d. It reports whether the caller did not
// cancel the request meanwhile.
func waitServiceTime(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

func writeBody(w http.ResponseWriter, r *http.Request, truncate bool) {
	size, err := strconv.Atoi(r.Header.Get(HeaderSize))
	if err != nil || size < 0 {
		size = 64
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	buffer := make([]byte, chunkSize)
	for i := range buffer {
		buffer[i] = byte('a' + i%26)
	}
	for sent := 0; sent < size; {
		n := min(size-sent, chunkSize)
		if truncate && sent+n == size {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(buffer[:n]); err != nil {
			return
		}
		sent += n
	}
}
