package fleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// InForceTimes reads the node logs and returns when the first and the last node
// logged that the revision, or a later one, is in force.
func (f *Fleet) InForceTimes(revision uint64) (first, last time.Time, err error) {
	for _, h := range f.hosts {
		at, err := f.inForceTime(h, revision)
		if err != nil {
			return first, last, err
		}
		if at.After(last) {
			last = at
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, last, nil
}

func (f *Fleet) inForceTime(h *Host, revision uint64) (time.Time, error) {
	file, err := os.Open(f.path(h.name + ".log"))
	if err != nil {
		return time.Time{}, err
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line struct {
			Event    string    `json:"event"`
			Revision uint64    `json:"revision"`
			Time     time.Time `json:"time"`
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == "configuration in force" && line.Revision >= revision {
			return line.Time, nil
		}
	}
	return time.Time{}, fmt.Errorf("node %q has not logged that revision %d is in force", h.name, revision)
}
