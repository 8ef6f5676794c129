package main

import (
	"bufio"
	"fmt"
	"os"
	"time"
)

// record writes lines with the time since the start. One goroutine owns the file.
type record struct {
	started time.Time
	lines   chan string
	done    chan struct{}
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	r := &record{started: time.Now(), lines: make(chan string, 1<<14), done: make(chan struct{})}
	go func() {
		defer close(r.done)
		w := bufio.NewWriter(file)
		for line := range r.lines {
			_, _ = w.WriteString(line)
		}
		_ = w.Flush()
		_ = file.Close()
	}()
	return r, nil
}

// write writes a line at the given time.
func (r *record) write(at time.Time, format string, args ...any) {
	r.lines <- fmt.Sprintf("%8.3f  ", at.Sub(r.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
}

// note writes a line now, and to standard output too.
func (r *record) note(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.write(time.Now(), format, args...)
}

func (r *record) close() {
	close(r.lines)
	<-r.done
}
