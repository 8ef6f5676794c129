package stand

import (
	"fmt"
	"os"
	"time"
)

// Record is the file in which a run writes what was sent, answered and run.
type Record struct {
	started time.Time
	lines   chan string
	stop    chan struct{}
	done    chan struct{}
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	r := &Record{started: time.Now(), lines: make(chan string, 1024), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(r.done)
		defer func() { _ = f.Close() }()
		for {
			select {
			case line := <-r.lines:
				_, _ = fmt.Fprintln(f, line)
				continue
			default:
			}
			select {
			case line := <-r.lines:
				_, _ = fmt.Fprintln(f, line)
			case <-r.stop:
				return
			}
		}
	}()
	return r, nil
}

// Add writes a line with the time since the start. Lines after Close are dropped.
func (r *Record) Add(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...)
	select {
	case r.lines <- line:
	case <-r.done:
	}
}

// Say writes a line to the record and to the standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes the rest of the lines.
func (r *Record) Close() {
	close(r.stop)
	<-r.done
}
