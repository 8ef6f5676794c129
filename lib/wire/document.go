package wire

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"savorygap.example/lib/document"
)

const (
	// MaxValueBytes is the maximum size of an encoded document. The store rejects
	// values above 1 MiB.
	MaxValueBytes = 900 << 10

	// maxDecompressedBytes is the maximum size of a document as plain JSON.
	maxDecompressedBytes = 16 << 20

	// compressionThreshold is the size in bytes from which documents are
	// compressed.
	compressionThreshold = 16 << 10
)

// gzipMagic is the prefix of every gzip stream. Plain JSON never starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

// documentForm is the JSON form of a document.
type documentForm struct {
	Revision   uint64            `json:"revision"`
	Resources  []json.RawMessage `json:"resources"`
	Operations []OperationForm   `json:"operations"`
}

// OperationForm is the JSON and YAML form of an operation in the audit log.
type OperationForm struct {
	ID       string    `json:"id" yaml:"id"`
	Author   string    `json:"author" yaml:"author"`
	At       time.Time `json:"at" yaml:"at"`
	Revision uint64    `json:"revision" yaml:"revision"`
	Changed  []string  `json:"changed" yaml:"changed"`
}

// TooLargeError reports a document that exceeds the size limit of a value in
// the store, or the limit on its decompressed size.
type TooLargeError struct {
	size  int
	limit int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("configuration takes %d bytes compressed, the limit is %d: delete resources or shorten rules", e.size, e.limit)
}

// Size returns the size in bytes that exceeds the limit.
func (e *TooLargeError) Size() int { return e.size }

// EncodeDocument encodes a document as a value for the store. It returns
// *TooLargeError when the value would exceed MaxValueBytes or its plain form
// the limit on decompressed documents.
func EncodeDocument(d *document.Document) ([]byte, error) {
	form := documentForm{Revision: uint64(d.Revision())}
	for _, r := range d.Resources() {
		raw, err := EncodeResource(r)
		if err != nil {
			return nil, err
		}
		form.Resources = append(form.Resources, raw)
	}
	for _, o := range d.Operations() {
		form.Operations = append(form.Operations, ToOperationForm(o))
	}
	plain, err := json.Marshal(form)
	if err != nil {
		return nil, err
	}
	if len(plain) > maxDecompressedBytes {
		return nil, &TooLargeError{size: len(plain), limit: maxDecompressedBytes}
	}
	value := compress(plain)
	if len(value) > MaxValueBytes {
		return nil, &TooLargeError{size: len(value), limit: MaxValueBytes}
	}
	return value, nil
}

// compress compresses a document of at least compressionThreshold bytes.
func compress(plain []byte) []byte {
	if len(plain) < compressionThreshold {
		return plain
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(plain)
	_ = w.Close()
	return b.Bytes()
}

// DecodeDocument decodes a document from a value of the store.
func DecodeDocument(value []byte) (*document.Document, error) {
	plain, err := decompress(value)
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	var form documentForm
	if err := json.Unmarshal(plain, &form); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	resources := make([]document.Resource, 0, len(form.Resources))
	for _, raw := range form.Resources {
		r, err := DecodeResource(raw)
		if err != nil {
			return nil, fmt.Errorf("decode configuration: %w", err)
		}
		resources = append(resources, r)
	}
	operations := make([]document.Operation, 0, len(form.Operations))
	for _, o := range form.Operations {
		operations = append(operations, FromOperationForm(o))
	}
	return document.Restore(document.Revision(form.Revision), resources, operations), nil
}

// decompress returns the plain form of a value, which may be uncompressed.
func decompress(value []byte) ([]byte, error) {
	if !bytes.HasPrefix(value, gzipMagic) {
		return value, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxDecompressedBytes {
		return nil, &TooLargeError{size: len(plain), limit: maxDecompressedBytes}
	}
	return plain, nil
}

// ToOperationForm converts an operation to its JSON form.
func ToOperationForm(o document.Operation) OperationForm {
	f := OperationForm{ID: o.ID(), Author: o.Author(), At: o.At(), Revision: uint64(o.Revision())}
	for _, k := range o.Changed() {
		f.Changed = append(f.Changed, k.String())
	}
	return f
}

// FromOperationForm converts the JSON form of an operation back.
func FromOperationForm(f OperationForm) document.Operation {
	changed := make([]document.Key, 0, len(f.Changed))
	for _, text := range f.Changed {
		changed = append(changed, ParseKey(text))
	}
	return document.NewOperation(f.ID, f.Author, f.At, document.Revision(f.Revision), changed)
}

// ParseKey parses a resource key of the form "kind/name". In a text without a
// slash, the whole text is the kind and the name is empty.
func ParseKey(text string) document.Key {
	kind, name, _ := bytes.Cut([]byte(text), []byte("/"))
	return document.NewKey(document.Kind(kind), string(name))
}
