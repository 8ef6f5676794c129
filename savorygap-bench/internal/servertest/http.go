package servertest

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"savorygap.example/lib/task"
)

// Header fields that steer the stand-in.
const (
	// HeaderRequestID identifies a request in the record of what ran.
	HeaderRequestID = "X-Request-Id"
	// HeaderWork multiplies the service time.
	HeaderWork = "X-Work"
	// HeaderSize is the size in bytes of the wanted answer.
	HeaderSize = "X-Size"
	// HeaderDigest is the xxHash64 of the request body in the answer.
	HeaderDigest = "X-Digest"
)

const chunk = 16 << 10 // bytes

// Handler returns the HTTP side. Cancellation is accepted: a caller that leaves
// frees its slot.
func (s *Server) Handler() http.Handler {
	return http.HandlerFunc(s.serve)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	work, err := strconv.ParseFloat(r.Header.Get(HeaderWork), 64)
	if err != nil || work <= 0 {
		work = 1
	}
	b := &begin{id: r.Header.Get(HeaderRequestID), work: work, reply: task.NewReply[verdict]()}
	if !s.inbox.Send(message{begin: b}) {
		http.Error(w, "stopped", http.StatusServiceUnavailable)
		return
	}
	v, ok := b.reply.Wait(r.Context(), s.inbox.Done())
	defer s.inbox.Send(message{end: true})
	if !ok {
		return
	}
	if v.status != http.StatusOK {
		http.Error(w, "stand-in refuses", v.status)
		return
	}
	digest := xxhash.New()
	if _, err := io.Copy(digest, r.Body); err != nil {
		return
	}
	if !wait(r, v.duration) {
		return
	}
	w.Header().Set(HeaderDigest, strconv.FormatUint(digest.Sum64(), 16))
	writeBody(w, r, v.cut)
}

// wait reports whether the caller stayed for the whole service time.
func wait(r *http.Request, d time.Duration) bool {
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

func writeBody(w http.ResponseWriter, r *http.Request, cut bool) {
	size, err := strconv.Atoi(r.Header.Get(HeaderSize))
	if err != nil || size < 0 {
		size = 64
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	buffer := make([]byte, chunk)
	for i := range buffer {
		buffer[i] = byte('a' + i%26)
	}
	for sent := 0; sent < size; {
		n := min(size-sent, chunk)
		if cut && sent+n == size {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(buffer[:n]); err != nil {
			return
		}
		sent += n
	}
}
