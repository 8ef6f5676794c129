package storage

import (
	"context"
	"errors"
)

// isCancelled reports whether a call failed because this node cancelled it.
func isCancelled(err error) bool { return errors.Is(err, context.Canceled) }
