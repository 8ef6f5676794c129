package frontend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"savorygap.example/lib/upstream"
)

const (
	// maxChunkLineBytes bounds the line that holds a chunk's size and
	// extensions.
	maxChunkLineBytes = 256
	// bodyMemoryWait is how long a body waits for memory before the request is refused.
	bodyMemoryWait = 200 * time.Millisecond
)

// readBody reads the complete body of a parsed request. It returns
// *MalformedRequestError for a body that exceeds limit or has invalid chunks, and
// *upstream.BodyMemoryError if there is no memory for it.
func readBody(r *bufio.Reader, request *http.Request, limit int64, memory *upstream.BodyMemory) ([]byte, error) {
	if len(request.TransferEncoding) > 0 {
		return readChunkedBody(r, limit, memory.NewBuffer(0, bodyMemoryWait))
	}
	if request.ContentLength <= 0 {
		return nil, nil
	}
	if request.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	body := memory.NewBuffer(int(request.ContentLength), bodyMemoryWait)
	if n, err := io.CopyN(body, r, request.ContentLength); err != nil {
		return nil, fmt.Errorf("body ended after %d of %d bytes: %w", n, request.ContentLength, err)
	}
	return body.Bytes(), nil
}

func bodyTooLarge(limit int64) *MalformedRequestError {
	return &MalformedRequestError{status: http.StatusRequestEntityTooLarge, reason: fmt.Sprintf("body is longer than %d bytes", limit)}
}

// readChunkedBody reads a chunked body and discards its trailer.
func readChunkedBody(r *bufio.Reader, limit int64, b *upstream.BodyBuffer) ([]byte, error) {
	for {
		size, err := readChunkSize(r)
		if err != nil {
			return nil, err
		}
		if size == 0 {
			return b.Bytes(), skipTrailer(r)
		}
		if int64(b.Len())+size > limit {
			return nil, bodyTooLarge(limit)
		}
		if _, err := io.CopyN(b, r, size); err != nil {
			return nil, err
		}
		end, err := readChunkLine(r)
		if err != nil {
			return nil, err
		}
		if end != "" {
			return nil, badRequest("chunk is longer than its size")
		}
	}
}

func readChunkSize(r *bufio.Reader) (int64, error) {
	line, err := readChunkLine(r)
	if err != nil {
		return 0, err
	}
	digits, _, _ := strings.Cut(line, ";")
	digits = strings.TrimRight(digits, " \t")
	if digits == "" || strings.ContainsAny(digits, "+-_xX ") {
		return 0, badRequest("chunk size is not a number")
	}
	size, err := strconv.ParseInt(digits, 16, 63)
	if err != nil {
		return 0, badRequest("chunk size is not a number")
	}
	return size, nil
}

func readChunkLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return "", badRequest("chunk line too long")
	}
	if err != nil {
		return "", err
	}
	if len(line) > maxChunkLineBytes || !strings.HasSuffix(string(line), "\r\n") {
		return "", badRequest("chunk line does not end with CR LF")
	}
	return string(line[:len(line)-2]), nil
}

func skipTrailer(r *bufio.Reader) error {
	for range maxTrailerLines {
		line, err := readChunkLine(r)
		if err != nil {
			return err
		}
		if line == "" {
			return nil
		}
	}
	return badRequest("trailer too long")
}

const maxTrailerLines = 16
