package registry

import (
	"context"
	"errors"
)

// errNoSwap reports a store that was made without a conditional write.
var errNoSwap = errors.New("the store has no conditional write")

// WithSwap returns the store with a function for conditional writes; see Swap.
func (s *Store) WithSwap(swap func(ctx context.Context, expected Record, writes []Record) (uint64, error)) *Store {
	copied := *s
	copied.swap = swap
	return &copied
}

// Swap writes records in one transaction if the record expected still has its version,
// where version 0 means that the store does not have it. It returns the version of the
// written records, or a *ConflictError if the record has changed.
func (s *Store) Swap(ctx context.Context, expected Record, writes ...Record) (uint64, error) {
	if s.swap == nil {
		return 0, errNoSwap
	}
	return s.swap(ctx, expected, writes)
}
