package quarantine

import "time"

// Kind is what a record says of a request.
type Kind uint8

// Kinds of records.
const (
	// Ended means that a server ended while it was at work on the request.
	Ended Kind = iota
	// Cleared means that a server has finished the request.
	Cleared
	// Held means that the request is held.
	Held
)

// Record is what nodes tell each other about a request.
type Record struct {
	fingerprint Fingerprint
	kind        Kind
	left        time.Duration
}

// NewRecord returns a record. left is how long a request is still held.
func NewRecord(f Fingerprint, kind Kind, left time.Duration) Record {
	return Record{fingerprint: f, kind: kind, left: left}
}

// Struck returns the records of one server's end: one for each request that it was at work
// on.
func Struck(fingerprints []Fingerprint) []Record {
	records := make([]Record, 0, len(fingerprints))
	seen := make(map[Fingerprint]bool, len(fingerprints))
	for _, f := range fingerprints {
		if !seen[f] {
			seen[f] = true
			records = append(records, NewRecord(f, Ended, 0))
		}
	}
	return records
}

// Fingerprint returns the request that the record is about.
func (r Record) Fingerprint() Fingerprint { return r.fingerprint }

// Kind returns what the record says.
func (r Record) Kind() Kind { return r.kind }

// Left returns how long the request is still held.
func (r Record) Left() time.Duration { return r.left }
