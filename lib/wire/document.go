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
	// MaxValue is the largest encoded document in bytes that is written; the
	// store refuses values above 1 MiB.
	MaxValue = 900 << 10

	// maxPlain is the largest decoded document in bytes.
	maxPlain = 16 << 20

	// compressAbove is the size in bytes from which documents are compressed.
	compressAbove = 16 << 10
)

var gzipMagic = []byte{0x1f, 0x8b}

type documentForm struct {
	Revision   uint64            `json:"revision"`
	Resources  []json.RawMessage `json:"resources"`
	Operations []OperationForm   `json:"operations"`
}

// OperationForm is the written form of an operation in the audit trail.
type OperationForm struct {
	ID       string    `json:"id" yaml:"id"`
	Author   string    `json:"author" yaml:"author"`
	At       time.Time `json:"at" yaml:"at"`
	Revision uint64    `json:"revision" yaml:"revision"`
	Changed  []string  `json:"changed" yaml:"changed"`
}

// TooLargeError reports a document that does not fit into a value of the store.
type TooLargeError struct {
	size  int
	limit int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("configuration takes %d bytes compressed, the limit is %d: delete resources or shorten rules", e.size, e.limit)
}

// Size returns the encoded size in bytes.
func (e *TooLargeError) Size() int { return e.size }

// EncodeDocument returns the value for the store. It returns *TooLargeError
// when the value would exceed MaxValue.
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
	if len(plain) > maxPlain {
		return nil, &TooLargeError{size: len(plain), limit: maxPlain}
	}
	value := compress(plain)
	if len(value) > MaxValue {
		return nil, &TooLargeError{size: len(value), limit: MaxValue}
	}
	return value, nil
}

func compress(plain []byte) []byte {
	if len(plain) < compressAbove {
		return plain
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(plain)
	_ = w.Close()
	return b.Bytes()
}

// DecodeDocument reads a value of the store.
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

func decompress(value []byte) ([]byte, error) {
	if !bytes.HasPrefix(value, gzipMagic) {
		return value, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxPlain+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxPlain {
		return nil, &TooLargeError{size: len(plain), limit: maxPlain}
	}
	return plain, nil
}

// ToOperationForm maps an operation to its written form.
func ToOperationForm(o document.Operation) OperationForm {
	f := OperationForm{ID: o.ID(), Author: o.Author(), At: o.At(), Revision: uint64(o.Revision())}
	for _, k := range o.Changed() {
		f.Changed = append(f.Changed, k.String())
	}
	return f
}

// FromOperationForm maps the written form back.
func FromOperationForm(f OperationForm) document.Operation {
	changed := make([]document.Key, 0, len(f.Changed))
	for _, text := range f.Changed {
		changed = append(changed, ParseKey(text))
	}
	return document.NewOperation(f.ID, f.Author, f.At, document.Revision(f.Revision), changed)
}

// ParseKey splits kind/name. A text without a slash is a kind alone.
func ParseKey(text string) document.Key {
	kind, name, _ := bytes.Cut([]byte(text), []byte("/"))
	return document.NewKey(document.Kind(kind), string(name))
}
