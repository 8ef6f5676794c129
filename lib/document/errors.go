package document

import (
	"fmt"
	"strings"
)

// ConflictError reports a change that expects a revision other than the one in
// force.
type ConflictError struct {
	expected    Revision
	actual      Revision
	author      string
	differences []Difference
}

// NewConflictError returns a conflict with the given contents. The author is
// that of the last change, empty when unknown.
func NewConflictError(expected, actual Revision, author string, differences []Difference) *ConflictError {
	return &ConflictError{expected: expected, actual: actual, author: author, differences: differences}
}

// Error implements error.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d expected, revision %d is in force", e.expected, e.actual)
	if e.author != "" {
		fmt.Fprintf(&b, " (last change by %q)", e.author)
	}
	for _, d := range e.differences {
		fmt.Fprintf(&b, "; %s", d)
	}
	return b.String()
}

// Expected returns the revision that the change was based on.
func (e *ConflictError) Expected() Revision { return e.expected }

// Actual returns the revision in force.
func (e *ConflictError) Actual() Revision { return e.actual }

// Differences returns the fields in which the change and the resources in force
// differ.
func (e *ConflictError) Differences() []Difference { return e.differences }

// InvalidError reports an invalid resource.
type InvalidError struct {
	key    Key
	field  string
	reason string
}

// NewInvalidError returns an error about one field of one resource.
func NewInvalidError(key Key, field, reason string) *InvalidError {
	return &InvalidError{key: key, field: field, reason: reason}
}

// Error implements error.
func (e *InvalidError) Error() string {
	if e.field == "" {
		return fmt.Sprintf("%s %s", e.key, e.reason)
	}
	return fmt.Sprintf("%s: field %q %s", e.key, e.field, e.reason)
}

// Key returns the key of the invalid resource.
func (e *InvalidError) Key() Key { return e.key }

// Field returns the path of the invalid field, empty when the error concerns
// the whole resource.
func (e *InvalidError) Field() string { return e.field }

// Reason returns why the field or resource is invalid.
func (e *InvalidError) Reason() string { return e.reason }

// RevisionGapError reports a delta that starts at a revision other than that
// of the document it is applied to.
type RevisionGapError struct {
	current Revision
	from    Revision
	to      Revision
}

// Error implements error.
func (e *RevisionGapError) Error() string {
	return fmt.Sprintf("delta from revision %d to %d does not apply to revision %d", e.from, e.to, e.current)
}

// To returns the revision that the delta would have produced.
func (e *RevisionGapError) To() Revision { return e.to }

// Difference is a field in which a resource of a change differs from the one in
// force.
type Difference struct {
	key   Key
	field string
	want  string
	have  string
}

// NewDifference returns the difference with the given decoded contents.
func NewDifference(key Key, field, want, have string) Difference {
	return Difference{key: key, field: field, want: want, have: have}
}

// Key returns the key of the resource.
func (d Difference) Key() Key { return d.key }

// Field returns the path of the field.
func (d Difference) Field() string { return d.field }

// Want returns the value in the change.
func (d Difference) Want() string { return d.want }

// Have returns the value in force.
func (d Difference) Have() string { return d.have }

// String describes the difference in one line.
func (d Difference) String() string {
	return fmt.Sprintf("%s field %q is %q, wanted %q", d.key, d.field, d.have, d.want)
}
