package fleet

import (
	"context"
	"os"
	"path/filepath"
)

// Binary is a node binary in a temporary directory, which several fleets can share.
type Binary struct {
	dir string
}

// BuildTempBinary builds the node binary in a new temporary directory.
func BuildTempBinary(ctx context.Context) (Binary, error) {
	dir, err := os.MkdirTemp("", "savorygap-binary-")
	if err != nil {
		return Binary{}, err
	}
	b := Binary{dir: dir}
	if err := Build(ctx, b.Path()); err != nil {
		b.Remove()
		return Binary{}, err
	}
	return b, nil
}

// Path returns the path of the binary.
func (b Binary) Path() string { return filepath.Join(b.dir, "savorygapd") }

// Remove deletes the binary and its directory.
func (b Binary) Remove() { _ = os.RemoveAll(b.dir) }
