package httpclient

import (
	"fmt"
	"strconv"
	"strings"
)

// usualPace is the fourth figure of a load report at a server's usual speed.
const usualPace = 100.0

// LoadReport is what a server tells of itself beside an answer.
type LoadReport struct {
	running  int
	waiting  int
	slots    int
	slowness float64
}

// ParseLoadReport reads a load report: requests running, waiting, slots, and
// optionally how long work takes in percent of the usual. It returns
// *LoadError for anything else.
func ParseLoadReport(text string) (LoadReport, error) {
	parts := strings.Split(text, ",")
	if len(parts) < 3 {
		return LoadReport{}, &LoadReportError{text: text}
	}
	var figures [4]int
	for i := range min(len(parts), len(figures)) {
		n, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil || n < 0 {
			return LoadReport{}, &LoadReportError{text: text}
		}
		figures[i] = n
	}
	return LoadReport{running: figures[0], waiting: figures[1], slots: figures[2], slowness: float64(figures[3]) / usualPace}, nil
}

// Outstanding returns how many requests the server runs and queues.
func (l LoadReport) Outstanding() int { return l.running + l.waiting }

// Slots returns how many requests the server runs at once.
func (l LoadReport) Slots() int { return l.slots }

// Slowness returns how many times longer than usual work takes, 0 when the
// server does not say.
func (l LoadReport) Slowness() float64 { return l.slowness }

// LoadReportError reports a load report that cannot be read.
type LoadReportError struct {
	text string
}

// Error implements error.
func (e *LoadReportError) Error() string {
	return fmt.Sprintf("load report %q is not three or four numbers", e.text)
}
