// Package document holds the operators' configuration: typed resources, the
// shared rulebook, what each branch overrides, and the total order of changes.
//
// A Document is immutable. Apply returns a new one with the next revision; the
// store's compare-and-swap decides which successor of a revision exists.
//
// # Usage
//
//	doc := document.Empty()
//	next, err := doc.Apply(document.NewChange(id, "alice", at, puts, deletes))
//	rules := next.Effective("board")
//
// The package decides; encoding lives in packages store, node and operator.
package document

import (
	"sort"
	"time"
)

// maxOperations bounds the remembered operations, and so the audit trail.
const maxOperations = 64

// Revision numbers accepted documents; the first accepted one is 1.
type Revision uint64

// Document is one accepted state of the configuration.
type Document struct {
	revision   Revision
	resources  map[Key]Resource
	operations []Operation
}

// Operation records who changed what in one accepted change.
type Operation struct {
	id       string
	author   string
	at       time.Time
	revision Revision
	changed  []Key
}

// NewOperation returns a recorded operation.
func NewOperation(id, author string, at time.Time, revision Revision, changed []Key) Operation {
	return Operation{id: id, author: author, at: at, revision: revision, changed: changed}
}

// ID returns the id that the operator's client chose.
func (o Operation) ID() string { return o.id }

// Author returns the name from the operator's certificate or token.
func (o Operation) Author() string { return o.author }

// At returns when the change was accepted.
func (o Operation) At() time.Time { return o.at }

// Revision returns the revision that the change produced.
func (o Operation) Revision() Revision { return o.revision }

// Changed returns the keys that were put or deleted.
func (o Operation) Changed() []Key { return o.changed }

// Empty returns the document before the first change.
func Empty() *Document {
	return &Document{resources: map[Key]Resource{}}
}

// Restore returns a document from its decoded parts.
func Restore(revision Revision, resources []Resource, operations []Operation) *Document {
	d := &Document{revision: revision, resources: map[Key]Resource{}, operations: operations}
	for _, r := range resources {
		d.resources[r.Key()] = r
	}
	return d
}

// Revision returns the revision of the document, 0 when it is empty.
func (d *Document) Revision() Revision { return d.revision }

// Operations returns the most recent operations, oldest first.
func (d *Document) Operations() []Operation { return d.operations }

// Get returns the resource under k.
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

// FindOperation returns the operation with the given id, which settles a write whose
// answer was lost.
func (d *Document) FindOperation(id string) (Operation, bool) {
	for _, o := range d.operations {
		if o.id == id {
			return o, true
		}
	}
	return Operation{}, false
}

// Change is one operator's request to change the document.
type Change struct {
	id       string
	author   string
	at       time.Time
	expected Revision
	guarded  bool
	puts     []Resource
	deletes  []Key
}

// NewChange returns a change. The id makes it idempotent.
func NewChange(id, author string, at time.Time, puts []Resource, deletes []Key) Change {
	return Change{id: id, author: author, at: at, puts: puts, deletes: deletes}
}

// WithExpectedRevision returns the change with the condition that it applies to revision
// r and to no other.
func (c Change) WithExpectedRevision(r Revision) Change {
	c.expected = r
	c.guarded = true
	return c
}

// ID returns the operation id.
func (c Change) ID() string { return c.id }

// Puts returns the resources that the change writes.
func (c Change) Puts() []Resource { return c.puts }

// Deletes returns the keys that the change removes.
func (c Change) Deletes() []Key { return c.deletes }

// Apply returns the successor of d under c. A change whose id is already
// recorded returns d itself. It returns *ConflictError when c expects another
// revision and *InvalidError when the result would not be sound.
func (d *Document) Apply(c Change) (*Document, error) {
	if _, done := d.FindOperation(c.id); done {
		return d, nil
	}
	if c.guarded && c.expected != d.revision {
		return nil, d.conflict(c)
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
	if err := next.check(); err != nil {
		return nil, err
	}
	next.operations = appendOperation(d.operations, Operation{
		id: c.id, author: c.author, at: c.at, revision: next.revision, changed: changed,
	})
	return next, nil
}

func appendOperation(old []Operation, o Operation) []Operation {
	kept := old
	if len(kept) >= maxOperations {
		kept = kept[len(kept)-maxOperations+1:]
	}
	return append(append(make([]Operation, 0, len(kept)+1), kept...), o)
}

func (d *Document) conflict(c Change) *ConflictError {
	e := &ConflictError{expected: c.expected, actual: d.revision}
	if n := len(d.operations); n > 0 {
		e.author = d.operations[n-1].author
	}
	for _, r := range c.puts {
		current, exists := d.resources[r.Key()]
		if !exists {
			e.differing = append(e.differing, Difference{key: r.Key(), field: "*", want: "present", have: "absent"})
			continue
		}
		e.differing = append(e.differing, Diff(r, current)...)
	}
	return e
}

// Delta is the difference between two revisions of the document.
type Delta struct {
	from       Revision
	to         Revision
	puts       []Resource
	deletes    []Key
	operations []Operation
}

// NewDelta returns a delta from its decoded parts.
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

// Operations returns the operations between the two revisions that are still
// remembered.
func (d Delta) Operations() []Operation { return d.operations }

// DeltaFrom returns what leads from old to d. With old nil it holds all of d.
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

// ApplyDelta returns the document that delta leads to. It returns *GapError when
// the delta does not start at d, unless it is a full document newer than d.
func (d *Document) ApplyDelta(delta Delta) (*Document, error) {
	base := d
	if delta.from == 0 && delta.to > d.revision {
		base = Empty()
	}
	if base.revision != delta.from {
		return nil, &RevisionGapError{have: d.revision, from: delta.from, to: delta.to}
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
