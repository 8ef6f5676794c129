package fleet

import (
	"context"
	"os"
	"path/filepath"
)

// Binary is a node program that several fleets share.
type Binary struct {
	dir string
}

// BuildTempBinary builds the node program into a folder of its own.
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

// Path returns the path of the program.
func (b Binary) Path() string { return filepath.Join(b.dir, "savorygapd") }

// Remove deletes the program.
func (b Binary) Remove() { _ = os.RemoveAll(b.dir) }
