package fleet

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Usage is the resource usage of a node process since its start.
type Usage struct {
	cpuSeconds    float64
	mallocs       float64
	residentBytes float64
}

// CPUSeconds returns the CPU time in seconds.
func (u Usage) CPUSeconds() float64 { return u.cpuSeconds }

// Mallocs returns the number of heap objects allocated.
func (u Usage) Mallocs() float64 { return u.mallocs }

// ResidentBytes returns the resident memory in bytes.
func (u Usage) ResidentBytes() float64 { return u.residentBytes }

// Sub returns the usage since earlier. Resident memory is that of u.
func (u Usage) Sub(earlier Usage) Usage {
	return Usage{cpuSeconds: u.cpuSeconds - earlier.cpuSeconds, mallocs: u.mallocs - earlier.mallocs, residentBytes: u.residentBytes}
}

// Usage reads the resource usage of the host's node from its metrics.
func (h *Host) Usage(ctx context.Context) (Usage, error) {
	metrics, err := h.Metrics(ctx)
	return Usage{
		cpuSeconds: metrics["process_cpu_seconds_total"], mallocs: metrics["go_memstats_mallocs_total"],
		residentBytes: metrics["process_resident_memory_bytes"],
	}, err
}

// Metrics fetches the metrics of the host's node. The keys are metric names with
// their labels.
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
		return nil, fmt.Errorf("read metrics of node %q: %s", h.name, response.Status)
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

// Add returns the sum of both usages, including resident memory.
func (u Usage) Add(o Usage) Usage {
	return Usage{cpuSeconds: u.cpuSeconds + o.cpuSeconds, mallocs: u.mallocs + o.mallocs, residentBytes: u.residentBytes + o.residentBytes}
}
