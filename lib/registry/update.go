package registry

// Update holds what a watcher received: all records, or changes to them.
type Update struct {
	records  []Record
	version  uint64
	full     bool
	eraStart uint64
}

// NewUpdate returns an update as of a version of the store. A full update contains
// all records.
func NewUpdate(records []Record, version uint64, full bool) Update {
	return Update{records: records, version: version, full: full}
}

// Records returns the records.
func (u Update) Records() []Record { return u.records }

// Version returns the version of the store after the update.
func (u Update) Version() uint64 { return u.version }

// Full reports whether the update contains all records.
func (u Update) Full() bool { return u.full }
