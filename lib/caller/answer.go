package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"savorygap.example/lib/attempt"
	"savorygap.example/lib/document"
	"savorygap.example/lib/outcome"
	"savorygap.example/lib/server"
)

// answer streams a server's answer to the caller. When it breaks off, the
// chart ends in the state truncated and the connection is reset.
func (q *request) answer(a *attempt.Response) {
	header := q.w.Header()
	copyHeader(header, a.Header())
	q.mark(outcome.Answered)
	if a.Length() >= 0 {
		header.Set("Content-Length", strconv.FormatInt(a.Length(), 10))
	}
	q.status = a.Status()
	q.w.WriteHeader(a.Status())
	err := q.copyBody(a)
	if err == nil {
		for name, values := range a.Trailer() {
			header[http.TrailerPrefix+name] = values
		}
	}
	a.Finish(err)
	if err != nil {
		q.reason = err.Error()
		q.fire(eventCut)
		return
	}
	q.fire(eventComplete)
}

// copyBody flushes after each part when the length is not known, so that
// streams reach the caller without delay.
func (q *request) copyBody(a *attempt.Response) error {
	flusher := http.NewResponseController(q.w)
	streaming := a.Length() < 0
	buffer := a.CopyBuffer()
	for {
		n, err := a.Body().Read(buffer)
		if n > 0 {
			if _, err := q.w.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if streaming {
			if err := flusher.Flush(); err != nil {
				return err
			}
		}
	}
}

func (q *request) mark(kind outcome.Kind) {
	header := q.w.Header()
	header.Set(HeaderOutcome, string(kind))
	header.Set(server.HeaderRequestID, q.demands.requestID)
	if q.plan.Revision() > 0 {
		header.Set(HeaderRevision, strconv.FormatUint(uint64(q.plan.Revision()), 10))
	}
}

// refuse tells the caller that the request was not run or that its outcome is
// unknown.
func (q *request) refuse(err error) {
	if notRun, ok := outcome.AsNotRun(err); ok {
		q.write(outcome.NotRun, http.StatusServiceUnavailable, notRun.Reason())
		return
	}
	status := http.StatusBadGateway
	if errors.Is(err, context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	q.write(outcome.Unknown, status, err.Error())
}

// reject answers a request that was refused before any target was chosen.
func (q *request) reject(err error) {
	var bad *BadRequestError
	var tooLarge *http.MaxBytesError
	var noRoute *document.NoRouteError
	status := http.StatusServiceUnavailable
	switch {
	case errors.As(err, &bad):
		status = http.StatusBadRequest
	case errors.As(err, &tooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.As(err, &noRoute):
		status = http.StatusNotFound
	}
	q.write(outcome.NotRun, status, err.Error())
}

func (q *request) write(kind outcome.Kind, status int, reason string) {
	q.mark(kind)
	q.status = status
	q.reason = reason
	header := q.w.Header()
	header.Set(HeaderReason, reasonToken(reason))
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", headerRetryIn)
	}
	http.Error(q.w, string(kind)+": "+reason, status)
}

// reasonToken keeps a reason within what a header field takes.
func reasonToken(reason string) string {
	out := make([]byte, 0, min(len(reason), maxIDLength))
	for i := 0; i < len(reason) && i < maxIDLength; i++ {
		if c := reason[i]; c >= ' ' && c <= '~' {
			out = append(out, c)
		}
	}
	return string(out)
}
