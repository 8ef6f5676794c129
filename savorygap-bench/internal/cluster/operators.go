package cluster

import "time"

// PutConfiguration writes the next version of the sample configuration. It returns the
// version and when the store had it.
func (s *Cluster) PutConfiguration() (version int64, acknowledged time.Time) {
	version = s.version.Add(1)
	s.store.PutConfiguration(version, ColdDuration, ColdRequestRate)
	return version, time.Now()
}

// SetEvacuated takes a data centre out of service, or back, and returns when the store
// had it.
func (s *Cluster) SetEvacuated(dataCentre string, out bool) (acknowledged time.Time) {
	s.store.SetEvacuated(dataCentre, out)
	return time.Now()
}
