package link

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// maxTextSize bounds a decompressed configuration, in bytes. It is twice the largest
// value that the store's protocol allows.
const maxTextSize = 2 << 20

// Compress compresses the operators' text for sending it to a peer. Routes are
// similar to each other, so the text shrinks to about a tenth.
func Compress(text []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress %d bytes of configuration: %w", len(text), err)
	}
	if _, err := w.Write(text); err != nil {
		return nil, fmt.Errorf("compress %d bytes of configuration: %w", len(text), err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress %d bytes of configuration: %w", len(text), err)
	}
	return b.Bytes(), nil
}

// Decompress returns the text that Compress compressed.
func Decompress(compressed []byte) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxTextSize+1))
	if err != nil {
		return nil, fmt.Errorf("decompress %d bytes of configuration: %w", len(compressed), err)
	}
	if len(text) > maxTextSize {
		return nil, fmt.Errorf("configuration is longer than %d bytes", maxTextSize)
	}
	return text, nil
}
