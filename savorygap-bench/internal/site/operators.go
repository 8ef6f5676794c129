package site

import "time"

// Configure writes the next version of the sample configuration. It returns the
// version and when the store had it.
func (s *Site) Configure() (version int64, acknowledged time.Time) {
	version = s.version.Add(1)
	s.store.PutConfiguration(version, ColdFor, ColdRate)
	return version, time.Now()
}

// Evacuate takes a data centre out of service, or back, and returns when the store
// had it.
func (s *Site) Evacuate(dataCentre string, out bool) (acknowledged time.Time) {
	s.store.SetEvacuated(dataCentre, out)
	return time.Now()
}
