package httpclient

import (
	"fmt"
	"strconv"
	"strings"
)

// normalLatencyPercent is the fourth number of a load report when the server
// runs at its normal speed.
const normalLatencyPercent = 100.0

// LoadReport is the load that a server reports with a response.
type LoadReport struct {
	running  int
	queued   int
	slots    int
	slowness float64
}

// ParseLoadReport parses a load report: the numbers of running requests, queued
// requests and slots, and optionally the current latency as a percentage of the
// normal latency. It returns *LoadReportError if the text is malformed.
func ParseLoadReport(text string) (LoadReport, error) {
	parts := strings.Split(text, ",")
	if len(parts) < 3 {
		return LoadReport{}, &LoadReportError{text: text}
	}
	var numbers [4]int
	for i := range min(len(parts), len(numbers)) {
		n, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil || n < 0 {
			return LoadReport{}, &LoadReportError{text: text}
		}
		numbers[i] = n
	}
	return LoadReport{running: numbers[0], queued: numbers[1], slots: numbers[2], slowness: float64(numbers[3]) / normalLatencyPercent}, nil
}

// Outstanding returns the number of running and queued requests.
func (l LoadReport) Outstanding() int { return l.running + l.queued }

// Slots returns how many requests the server runs concurrently.
func (l LoadReport) Slots() int { return l.slots }

// Slowness returns the current latency as a multiple of the normal latency, or
// 0 if the server does not report it.
func (l LoadReport) Slowness() float64 { return l.slowness }

// LoadReportError reports a malformed load report.
type LoadReportError struct {
	text string
}

// Error implements error.
func (e *LoadReportError) Error() string {
	return fmt.Sprintf("load report %q is not three or four numbers", e.text)
}
