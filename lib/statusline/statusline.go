// Package statusline checks the status line of an HTTP/1.1 response before it is parsed.
//
// net/http accepts every status of three characters that is a number, such as 000, 999
// and +20, and ignores spaces in front of it. Only 100 to 599 are responses.
//
// # Usage
//
//	if err := statusline.Check(reader); err != nil { ... }
//	response, err := http.ReadResponse(reader, request)
package statusline

import (
	"bufio"
	"fmt"
)

const (
	// statusStart and statusEnd delimit the status in "HTTP/1.1 200 OK".
	statusStart = len("HTTP/1.1 ")
	statusEnd   = statusStart + 3
)

// InvalidError reports a status line without a valid status.
type InvalidError struct {
	line string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("status line that begins with %q has no status from 100 to 599", e.line)
}

// Check returns an *InvalidError unless the next status line has a status from 100 to
// 599, or the error that ended the input before. It consumes nothing; the protocol version
// is left to the parser.
func Check(r *bufio.Reader) error {
	line, err := peekLine(r)
	if err != nil {
		return err
	}
	if !isValid(line) {
		return &InvalidError{line: string(line)}
	}
	return nil
}

// peekLine returns the start of the next line up to the end of the status, or the whole
// line if it is shorter: a server that keeps the connection open may send no more.
func peekLine(r *bufio.Reader) ([]byte, error) {
	for n := 1; ; n++ {
		line, err := r.Peek(n)
		if err != nil || n > statusEnd || line[n-1] == '\n' {
			return line, err
		}
	}
}

func isValid(line []byte) bool {
	if len(line) <= statusEnd {
		return false
	}
	for _, c := range line[statusStart:statusEnd] {
		if c < '0' || c > '9' {
			return false
		}
	}
	if first := line[statusStart]; first < '1' || first > '5' || line[statusStart-1] != ' ' {
		return false
	}
	switch line[statusEnd] {
	case ' ', '\r', '\n':
		return true
	}
	return false
}
