package fleet

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Usage is what a node process has used so far.
type Usage struct {
	processor float64
	mallocs   float64
	resident  float64
}

// CPUSeconds returns processor time in seconds.
func (u Usage) CPUSeconds() float64 { return u.processor }

// Mallocs returns the number of heap objects allocated.
func (u Usage) Mallocs() float64 { return u.mallocs }

// ResidentBytes returns resident memory in bytes.
func (u Usage) ResidentBytes() float64 { return u.resident }

// Sub returns what was used since earlier; resident memory stays as it is.
func (u Usage) Sub(earlier Usage) Usage {
	return Usage{processor: u.processor - earlier.processor, mallocs: u.mallocs - earlier.mallocs, resident: u.resident}
}

// Usage reads the metrics of the host's node.
func (h *Host) Usage(ctx context.Context) (Usage, error) {
	metrics, err := h.Metrics(ctx)
	return Usage{
		processor: metrics["process_cpu_seconds_total"], mallocs: metrics["go_memstats_mallocs_total"],
		resident: metrics["process_resident_memory_bytes"],
	}, err
}

// Metrics reads the metrics of the host's node; names carry their labels.
func (h *Host) Metrics(ctx context.Context) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.LocalAddress()+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	response, err := h.fleet.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("node %q answers %s", h.name, response.Status)
	}
	out := map[string]float64{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		line := lines.Text()
		at := strings.LastIndexByte(line, ' ')
		if strings.HasPrefix(line, "#") || at < 0 {
			continue
		}
		if v, err := strconv.ParseFloat(line[at+1:], 64); err == nil {
			out[line[:at]] = v
		}
	}
	return out, lines.Err()
}

// Add returns the sum of two usages.
func (u Usage) Add(o Usage) Usage {
	return Usage{processor: u.processor + o.processor, mallocs: u.mallocs + o.mallocs, resident: u.resident + o.resident}
}
