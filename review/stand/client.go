package stand

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// Answer is what a client got for one attempt. Status 0 means that the connection
// ended, or the time was over, without an answer.
type Answer struct {
	ID     string
	Status int
	Sealed bool
	Close  bool // the connection takes no further request
	// RetryAfter is the time after which the client may come back.
	RetryAfter time.Duration
	Body       string
	Err        error
	Took       time.Duration
}

// NewID returns the id of an attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Client is a connection of a client that it keeps.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
	host   string
}

// DialClient connects to a node.
func DialClient(node, host string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", node, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{conn: conn, reader: bufio.NewReader(conn), host: host}, nil
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Do sends a request and waits for its answer.
func (c *Client) Do(id, method, uri string, body []byte, deadline time.Duration) Answer {
	started := time.Now()
	a := Answer{ID: id}
	_ = c.conn.SetDeadline(started.Add(deadline))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, uri, c.host, names.AttemptID(), id, names.Timeout(), deadline.Milliseconds())
	if method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %s\r\n", strconv.Itoa(len(body)))
	}
	head.WriteString("\r\n")
	go func() {
		if _, err := c.conn.Write([]byte(head.String())); err == nil && len(body) > 0 {
			_, _ = c.conn.Write(body)
		}
	}()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err == nil {
		var text []byte
		text, err = io.ReadAll(response.Body)
		a.Body = string(text)
	}
	a.Took = time.Since(started)
	if err != nil {
		a.Err = err
		return a
	}
	if s, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(s * float64(time.Second))
	}
	a.Status, a.Sealed, a.Close = response.StatusCode, response.Header.Get(names.Signature()) != "", response.Close
	return a
}

// Once sends a request on a new connection.
func Once(node, host, method, uri string, body []byte, deadline time.Duration) Answer {
	c, err := DialClient(node, host)
	if err != nil {
		return Answer{ID: "none", Err: err}
	}
	defer c.Close()
	return c.Do(NewID(), method, uri, body, deadline)
}

// Trouble reports whether the disruption is to be played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

const uploadStep = 64 << 10 // bytes

// Upload sends a request with a body on a new connection at a number of bytes a second.
func Upload(node, host, uri string, body []byte, rate int, deadline time.Duration) Answer {
	a := Answer{ID: NewID()}
	started := time.Now()
	conn, err := net.DialTimeout("tcp", node, time.Second)
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(started.Add(deadline))
	go func() {
		head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n", uri, host, names.AttemptID(), a.ID, names.Timeout(), deadline.Milliseconds(), len(body))
		_, err := conn.Write([]byte(head))
		for sent := 0; err == nil && sent < len(body); {
			n := min(uploadStep, len(body)-sent)
			_, err = conn.Write(body[sent : sent+n])
			sent += n
			due := started.Add(time.Duration(float64(sent) / float64(rate) * float64(time.Second)))
			time.Sleep(time.Until(due))
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	a.Took = time.Since(started)
	if err != nil {
		a.Err = err
		return a
	}
	a.Status, a.Sealed = response.StatusCode, response.Header.Get(names.Signature()) != ""
	return a
}

// Download sends a read on a new connection and reads its answer at a number of bytes a
// second.
func Download(node, host, uri string, rate int, deadline time.Duration) Answer {
	a := Answer{ID: NewID()}
	started := time.Now()
	conn, err := net.DialTimeout("tcp", node, time.Second)
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(downloadWindow)
	}
	_ = conn.SetDeadline(started.Add(deadline))
	_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", uri, host, names.AttemptID(), a.ID, names.Timeout(), deadline.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodGet})
	if err == nil {
		begun, total, b := time.Now(), 0, make([]byte, uploadStep)
		for err == nil {
			var n int
			n, err = response.Body.Read(b)
			total += n
			time.Sleep(time.Until(begun.Add(time.Duration(float64(total) / float64(rate) * float64(time.Second)))))
		}
		if errors.Is(err, io.EOF) {
			err = nil
		}
	}
	a.Took = time.Since(started)
	if err != nil {
		a.Err = err
		return a
	}
	a.Status, a.Sealed = response.StatusCode, response.Header.Get(names.Signature()) != ""
	return a
}

// downloadWindow is the receive buffer of a client that downloads, in bytes.
const downloadWindow = 64 << 10
