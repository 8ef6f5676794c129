package frontend

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

const (
	maxChunkLine = 256 // bytes: size and extensions
	// growBy bounds what a caller can make the node allocate before it has sent
	// anything, in bytes.
	growBy = 64 << 10
)

// readBody reads the whole body of a parsed request. It returns *MalformedError
// for a body that is longer than limit or whose chunks are broken.
func readBody(r *bufio.Reader, request *http.Request, limit int64) ([]byte, error) {
	if len(request.TransferEncoding) > 0 {
		return readChunks(r, limit)
	}
	if request.ContentLength <= 0 {
		return nil, nil
	}
	if request.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	if request.ContentLength <= growBy {
		body := make([]byte, request.ContentLength)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	var b bytes.Buffer
	n, err := io.CopyN(&b, r, request.ContentLength)
	if err != nil {
		return nil, fmt.Errorf("body ended after %d of %d bytes: %w", n, request.ContentLength, err)
	}
	return b.Bytes(), nil
}

func tooLarge(limit int64) *MalformedRequestError {
	return &MalformedRequestError{status: http.StatusRequestEntityTooLarge, reason: fmt.Sprintf("body is longer than %d bytes", limit)}
}

// readChunks reads a chunked body and its trailer, which is dropped.
func readChunks(r *bufio.Reader, limit int64) ([]byte, error) {
	var b bytes.Buffer
	for {
		size, err := readChunkSize(r)
		if err != nil {
			return nil, err
		}
		if size == 0 {
			return b.Bytes(), skipTrailer(r)
		}
		if int64(b.Len())+size > limit {
			return nil, tooLarge(limit)
		}
		if _, err := io.CopyN(&b, r, size); err != nil {
			return nil, err
		}
		end, err := readLine(r)
		if err != nil {
			return nil, err
		}
		if end != "" {
			return nil, malformed("chunk is longer than its size")
		}
	}
}

func readChunkSize(r *bufio.Reader) (int64, error) {
	line, err := readLine(r)
	if err != nil {
		return 0, err
	}
	digits, _, _ := strings.Cut(line, ";")
	digits = strings.TrimRight(digits, " \t")
	if digits == "" || strings.ContainsAny(digits, "+-_xX ") {
		return 0, malformed("chunk size is not a number")
	}
	size, err := strconv.ParseInt(digits, 16, 63)
	if err != nil {
		return 0, malformed("chunk size is not a number")
	}
	return size, nil
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	if err != nil {
		return "", err
	}
	if len(line) > maxChunkLine || !bytes.HasSuffix(line, []byte("\r\n")) {
		return "", malformed("chunk line does not end with CR LF")
	}
	return string(line[:len(line)-2]), nil
}

func skipTrailer(r *bufio.Reader) error {
	for range maxTrailer {
		line, err := readLine(r)
		if err != nil {
			return err
		}
		if line == "" {
			return nil
		}
	}
	return malformed("trailer too long")
}

const maxTrailer = 16 // lines
