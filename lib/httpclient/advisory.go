package httpclient

import (
	"fmt"
	"math"
	"net/http"
	"strconv"

	"savorygap.example/lib/headernames"
)

// Advisory is what a server asks, in a response, of those that send it requests.
type Advisory struct {
	rateLimit float64
	limited   bool
	leaving   bool
	err       error
}

// RateLimit returns how many requests per second the server takes from all nodes
// together. It reports false if the response states no limit.
func (a Advisory) RateLimit() (perSecond float64, limited bool) { return a.rateLimit, a.limited }

// Leaving reports whether the server states that it is about to leave.
func (a Advisory) Leaving() bool { return a.leaving }

// Err returns *RateLimitError if the stated limit is malformed, so that the response
// says nothing about the limit.
func (a Advisory) Err() error { return a.err }

// RateLimitError reports a malformed rate limit.
type RateLimitError struct {
	text string
}

// Error implements error.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("rate limit %q is not a decimal number of requests per second", e.text)
}

// parseAdvisory reads the advisory from the header of a response.
func parseAdvisory(names headernames.Set, header http.Header) Advisory {
	a := Advisory{leaving: header.Get(names.Leaving()) == "1"}
	text := header.Get(names.RateLimit())
	if text == "" {
		return a
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(limit, 0) || math.IsNaN(limit) || limit < 0 {
		a.err = &RateLimitError{text: text}
		return a
	}
	a.rateLimit, a.limited = limit, true
	return a
}
