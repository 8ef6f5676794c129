package fleet

import (
	"bytes"
	"fmt"

	"savorygap.example/lib/link"
	"savorygap.example/lib/routeconfig"
)

// StaleVersionError reports a configuration whose operators' version is not higher than
// that in force.
type StaleVersionError struct {
	version uint64
	inForce uint64
}

// Error implements error.
func (e *StaleVersionError) Error() string {
	return fmt.Sprintf("configuration: field %q is %d, which is not higher than %d in force", "Version", e.version, e.inForce)
}

// Version returns the operators' version of the refused configuration.
func (e *StaleVersionError) Version() uint64 { return e.version }

// checkVersion returns the configuration to put in force for a decoded one with the given
// text. It refuses one whose operators' version is lower than that in force, or the same
// with another text. The same text again, at a new store version, keeps the configuration
// in force.
func (f *Fleet) checkVersion(decoded *routeconfig.Config, text []byte) (*routeconfig.Config, error) {
	inForce := f.snapshot.config
	switch {
	case inForce == nil || decoded.Version() > inForce.Version():
		return decoded, nil
	case decoded.Version() == inForce.Version():
		known, err := snapshotChange{text: f.snapshot.text, compressed: f.snapshot.compressed}.decompressed()
		if err != nil {
			return nil, err
		}
		if bytes.Equal(known, text) {
			return inForce, nil
		}
	}
	return nil, &StaleVersionError{version: decoded.Version(), inForce: inForce.Version()}
}

// withoutRefused returns the versions without a configuration that this node has refused,
// which it need not fetch again.
func (f *Fleet) withoutRefused(v link.Versions) link.Versions {
	if v.Configuration() != f.refused {
		return v
	}
	return link.NewVersions(f.snapshot.version, v.Evacuation())
}
