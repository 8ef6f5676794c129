package registry

import "fmt"

// EraChangedError reports that the store was restored to an older state, so that all
// records have to be read. Versions of the new era are higher than all before it.
type EraChangedError struct {
	after uint64
	start uint64
}

// NewEraChangedError returns the error for a version of an older era and the lowest
// version of the new one.
func NewEraChangedError(after, start uint64) *EraChangedError {
	return &EraChangedError{after: after, start: start}
}

// Error implements error.
func (e *EraChangedError) Error() string {
	return fmt.Sprintf("the store was restored to an older state: version %d is of an older era than version %d", e.after, e.start)
}

// EraStart returns the lowest version of the new era.
func (e *EraChangedError) EraStart() uint64 { return e.start }

// WithEraStart returns the update with the lowest version of the store's era. Versions
// below it are of an older era, and what was written at them may be missing.
func (u Update) WithEraStart(version uint64) Update {
	u.eraStart = version
	return u
}

// EraStart returns the lowest version of the store's era, 0 in a store that was never
// restored.
func (u Update) EraStart() uint64 { return u.eraStart }
