package link

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// maxText bounds an unpacked configuration, in bytes: the largest value that the
// store's protocol knows, and as much again.
const maxText = 2 << 20

// Compress packs the operators' text for handing it over. Routes are much alike, so
// that a tenth of their bytes remains.
func Compress(text []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack %d bytes of configuration: %w", len(text), err)
	}
	if _, err := w.Write(text); err != nil {
		return nil, fmt.Errorf("pack %d bytes of configuration: %w", len(text), err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack %d bytes of configuration: %w", len(text), err)
	}
	return b.Bytes(), nil
}

// Decompress returns the text that Pack packed.
func Decompress(packed []byte) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxText+1))
	if err != nil {
		return nil, fmt.Errorf("unpack %d bytes of configuration: %w", len(packed), err)
	}
	if len(text) > maxText {
		return nil, fmt.Errorf("configuration is longer than %d bytes", maxText)
	}
	return text, nil
}
