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

// writeResponse streams a server's response to the caller. If the response is
// truncated, the chart ends in the state truncated, and ServeHTTP resets the
// connection.
func (q *request) writeResponse(response *attempt.Response) {
	header := q.w.Header()
	copyHeader(header, response.Header())
	q.setOutcomeHeaders(outcome.Answered)
	if response.Length() >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.Length(), 10))
	}
	q.status = response.Status()
	q.w.WriteHeader(response.Status())
	err := q.copyBody(response)
	if err == nil {
		for name, values := range response.Trailer() {
			header[http.TrailerPrefix+name] = values
		}
	}
	response.Finish(err)
	if err != nil {
		q.reason = err.Error()
		q.fire(eventCut)
		return
	}
	q.fire(eventComplete)
}

// copyBody copies the response body to the caller. If the length is unknown, it
// flushes after every read, so that streamed data is not delayed.
func (q *request) copyBody(response *attempt.Response) error {
	controller := http.NewResponseController(q.w)
	streaming := response.Length() < 0
	buffer := response.CopyBuffer()
	for {
		n, err := response.Body().Read(buffer)
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
			if err := controller.Flush(); err != nil {
				return err
			}
		}
	}
}

func (q *request) setOutcomeHeaders(kind outcome.Kind) {
	header := q.w.Header()
	header.Set(HeaderOutcome, string(kind))
	header.Set(server.HeaderRequestID, q.params.requestID)
	if q.plan.Revision() > 0 {
		header.Set(HeaderRevision, strconv.FormatUint(uint64(q.plan.Revision()), 10))
	}
}

// writeAttemptError responds to a request that was not run or whose outcome is
// unknown.
func (q *request) writeAttemptError(err error) {
	if notRun, ok := outcome.AsNotRun(err); ok {
		q.writeError(outcome.NotRun, http.StatusServiceUnavailable, notRun.Reason())
		return
	}
	status := http.StatusBadGateway
	if errors.Is(err, context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	q.writeError(outcome.Unknown, status, err.Error())
}

// writeRejection responds to a request that was rejected before the first
// attempt.
func (q *request) writeRejection(err error) {
	var badRequest *BadRequestError
	var tooLarge *http.MaxBytesError
	var noRoute *document.NoRouteError
	status := http.StatusServiceUnavailable
	switch {
	case errors.As(err, &badRequest):
		status = http.StatusBadRequest
	case errors.As(err, &tooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.As(err, &noRoute):
		status = http.StatusNotFound
	}
	q.writeError(outcome.NotRun, status, err.Error())
}

func (q *request) writeError(kind outcome.Kind, status int, reason string) {
	q.setOutcomeHeaders(kind)
	q.status = status
	q.reason = reason
	header := q.w.Header()
	header.Set(HeaderReason, headerSafeReason(reason))
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", retryAfterSeconds)
	}
	http.Error(q.w, string(kind)+": "+reason, status)
}

// headerSafeReason truncates a reason and removes the characters that are not
// printable ASCII, so that it is valid in a header field.
func headerSafeReason(reason string) string {
	safe := make([]byte, 0, min(len(reason), maxHeaderValueBytes))
	for i := 0; i < len(reason) && i < maxHeaderValueBytes; i++ {
		if c := reason[i]; c >= ' ' && c <= '~' {
			safe = append(safe, c)
		}
	}
	return string(safe)
}
