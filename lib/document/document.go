// Package document implements the configuration that operators manage: typed
// resources, rulebooks of shared rules, the overrides of each branch, and the
// revision history.
//
// A Document is immutable. Apply returns a new one with the next revision. The
// store's compare-and-swap ensures that each revision has at most one
// successor, so that all changes are totally ordered.
//
// # Usage
//
//	doc := document.Empty()
//	next, err := doc.Apply(document.NewChange(id, "alice", at, puts, deletes))
//	rules := next.EffectiveRules("board")
//
// The package validates and merges configuration; packages wire, gossip and
// operator encode it.
package document

import (
	"sort"
	"time"
)

// maxRecordedOperations limits the operations kept in a document, and with
// them the audit log and the detection of repeated operation ids.
const maxRecordedOperations = 64

// Revision is the number of an accepted document, counted from 1.
type Revision uint64

// Document is the whole configuration at one revision, with its most recent
// operations.
type Document struct {
	revision   Revision
	resources  map[Key]Resource
	operations []Operation
}

// Operation is the audit record of one accepted change.
type Operation struct {
	id       string
	author   string
	at       time.Time
	revision Revision
	changed  []Key
}

// NewOperation returns the record of an accepted change.
func NewOperation(id, author string, at time.Time, revision Revision, changed []Key) Operation {
	return Operation{id: id, author: author, at: at, revision: revision, changed: changed}
}

// ID returns the operation id, which the client generates.
func (o Operation) ID() string { return o.id }

// Author returns the common name of the operator's certificate.
func (o Operation) Author() string { return o.author }

// At returns the time at which the node received the change.
func (o Operation) At() time.Time { return o.at }

// Revision returns the revision that the change produced.
func (o Operation) Revision() Revision { return o.revision }

// Changed returns the keys that were put or deleted.
func (o Operation) Changed() []Key { return o.changed }

// Empty returns the document without resources that precedes revision 1.
func Empty() *Document {
	return &Document{resources: map[Key]Resource{}}
}

// Restore returns the document with the given decoded contents. It does not
// validate them.
func Restore(revision Revision, resources []Resource, operations []Operation) *Document {
	d := &Document{revision: revision, resources: map[Key]Resource{}, operations: operations}
	for _, r := range resources {
		d.resources[r.Key()] = r
	}
	return d
}

// Revision returns the revision of the document, 0 before the first change.
func (d *Document) Revision() Revision { return d.revision }

// Operations returns the most recent operations, oldest first.
func (d *Document) Operations() []Operation { return d.operations }

// Get returns the resource with key k.
func (d *Document) Get(k Key) (Resource, bool) {
	r, ok := d.resources[k]
	return r, ok
}

// Resources returns all resources ordered by kind and name.
func (d *Document) Resources() []Resource {
	all := make([]Resource, 0, len(d.resources))
	for _, r := range d.resources {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key().Less(all[j].Key()) })
	return all
}

// FindOperation returns the recorded operation with the given id. After a lost
// response it shows whether the write took effect.
func (d *Document) FindOperation(id string) (Operation, bool) {
	for _, o := range d.operations {
		if o.id == id {
			return o, true
		}
	}
	return Operation{}, false
}

// Change is a request to put and delete resources in one step.
type Change struct {
	id          string
	author      string
	at          time.Time
	expected    Revision
	conditional bool
	puts        []Resource
	deletes     []Key
}

// NewChange returns a change. Applying a change whose id is already recorded
// has no effect.
func NewChange(id, author string, at time.Time, puts []Resource, deletes []Key) Change {
	return Change{id: id, author: author, at: at, puts: puts, deletes: deletes}
}

// WithExpectedRevision returns the change with the condition that it only
// applies to revision r.
func (c Change) WithExpectedRevision(r Revision) Change {
	c.expected = r
	c.conditional = true
	return c
}

// ID returns the operation id.
func (c Change) ID() string { return c.id }

// Puts returns the resources that the change writes.
func (c Change) Puts() []Resource { return c.puts }

// Deletes returns the keys that the change removes.
func (c Change) Deletes() []Key { return c.deletes }

// Apply returns the document that results from applying c to d, or d itself
// when the operation id of c is already recorded. It returns *ConflictError
// when c expects another revision and *InvalidError when the result is invalid.
func (d *Document) Apply(c Change) (*Document, error) {
	if _, done := d.FindOperation(c.id); done {
		return d, nil
	}
	if c.conditional && c.expected != d.revision {
		return nil, d.conflictError(c)
	}
	next := &Document{revision: d.revision + 1, resources: make(map[Key]Resource, len(d.resources)+len(c.puts))}
	for k, r := range d.resources {
		next.resources[k] = r
	}
	changed := make([]Key, 0, len(c.puts)+len(c.deletes))
	for _, r := range c.puts {
		next.resources[r.Key()] = r
		changed = append(changed, r.Key())
	}
	for _, k := range c.deletes {
		if _, exists := next.resources[k]; !exists {
			return nil, &InvalidError{key: k, reason: "does not exist"}
		}
		delete(next.resources, k)
		changed = append(changed, k)
	}
	if err := next.validate(); err != nil {
		return nil, err
	}
	next.operations = appendOperation(d.operations, Operation{
		id: c.id, author: c.author, at: c.at, revision: next.revision, changed: changed,
	})
	return next, nil
}

// appendOperation returns a copy of old with o appended and without the oldest
// operations that exceed the limit.
func appendOperation(old []Operation, o Operation) []Operation {
	kept := old
	if len(kept) >= maxRecordedOperations {
		kept = kept[len(kept)-maxRecordedOperations+1:]
	}
	return append(append(make([]Operation, 0, len(kept)+1), kept...), o)
}

// conflictError returns the error for a change that expects another revision.
// It lists how the resources that c puts differ from those in d.
func (d *Document) conflictError(c Change) *ConflictError {
	e := &ConflictError{expected: c.expected, actual: d.revision}
	if n := len(d.operations); n > 0 {
		e.author = d.operations[n-1].author
	}
	for _, r := range c.puts {
		current, exists := d.resources[r.Key()]
		if !exists {
			e.differences = append(e.differences, Difference{key: r.Key(), field: "*", want: "present", have: "absent"})
			continue
		}
		e.differences = append(e.differences, Diff(r, current)...)
	}
	return e
}

// Delta contains the resources and operations that differ between two
// revisions of the document.
type Delta struct {
	from       Revision
	to         Revision
	puts       []Resource
	deletes    []Key
	operations []Operation
}

// NewDelta returns the delta with the given decoded contents.
func NewDelta(from, to Revision, puts []Resource, deletes []Key, operations []Operation) Delta {
	return Delta{from: from, to: to, puts: puts, deletes: deletes, operations: operations}
}

// From returns the revision that the delta applies to; 0 for a full document.
func (d Delta) From() Revision { return d.from }

// To returns the revision that the delta produces.
func (d Delta) To() Revision { return d.to }

// Puts returns the resources that are new or changed.
func (d Delta) Puts() []Resource { return d.puts }

// Deletes returns the keys that were removed.
func (d Delta) Deletes() []Key { return d.deletes }

// Operations returns the operations after the first revision that the newer
// document still records.
func (d Delta) Operations() []Operation { return d.operations }

// DeltaFrom returns the delta that turns old into d. With old nil it contains
// the whole of d.
func (d *Document) DeltaFrom(old *Document) Delta {
	if old == nil {
		old = Empty()
	}
	delta := Delta{from: old.revision, to: d.revision}
	for _, r := range d.Resources() {
		before, ok := old.resources[r.Key()]
		if !ok || len(Diff(before, r)) > 0 {
			delta.puts = append(delta.puts, r)
		}
	}
	for k := range old.resources {
		if _, ok := d.resources[k]; !ok {
			delta.deletes = append(delta.deletes, k)
		}
	}
	sort.Slice(delta.deletes, func(i, j int) bool { return delta.deletes[i].Less(delta.deletes[j]) })
	for _, o := range d.operations {
		if o.revision > old.revision {
			delta.operations = append(delta.operations, o)
		}
	}
	return delta
}

// ApplyDelta returns the document that results from applying delta to d. A
// full document replaces d when it is newer. In all other cases delta must
// start at the revision of d; otherwise ApplyDelta returns *RevisionGapError.
func (d *Document) ApplyDelta(delta Delta) (*Document, error) {
	base := d
	if delta.from == 0 && delta.to > d.revision {
		base = Empty()
	}
	if base.revision != delta.from {
		return nil, &RevisionGapError{current: d.revision, from: delta.from, to: delta.to}
	}
	next := &Document{revision: delta.to, resources: make(map[Key]Resource, len(base.resources)+len(delta.puts))}
	for k, r := range base.resources {
		next.resources[k] = r
	}
	for _, k := range delta.deletes {
		delete(next.resources, k)
	}
	for _, r := range delta.puts {
		next.resources[r.Key()] = r
	}
	next.operations = base.operations
	for _, o := range delta.operations {
		next.operations = appendOperation(next.operations, o)
	}
	return next, nil
}
