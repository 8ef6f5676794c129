package site

import (
	"fmt"
	"time"
)

// operators is the configuration as operators write it. Each version adds a route
// of its own and drops the one that the version before the last added.
const operators = `{"Version":"r%[1]d","Services":[
 {"Name":"logview","HealthPath":"/healthz","MaxConnections":220,"ColdStartS":%[2]g,"ColdPerS":%[3]d},
 {"Name":"findings","HealthPath":"/healthz","MaxConnections":220,"ColdStartS":%[2]g,"ColdPerS":%[3]d},
 {"Name":"sensorhub","HealthPath":"/healthz","MaxConnections":220,"ColdStartS":%[2]g,"ColdPerS":%[3]d}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeoutS":3,"IdleTimeoutS":15},
 "VirtualHosts":[{"Host":"board.example","Paths":[
  {"Name":"logs","PathPrefix":"/logview/","Kind":"safe","TimeoutS":1.5,"TargetLatencyS":0.3,"Priority":2,"Service":"logview","Attempts":2},
  {"Name":"findings","PathPrefix":"/findings/","Kind":"unsafe","TimeoutS":1.5,"TargetLatencyS":0.4,"Priority":1,"Service":"findings","Attempts":2},
  {"Name":"archive","PathPrefix":"/sensorhub/","Kind":"upload","TimeoutS":1.5,"TargetLatencyS":0.4,"Priority":1,"Service":"sensorhub","Attempts":2},
  {"Name":"marker","PathPrefix":"%[4]s/","Kind":"safe","TimeoutS":1.5,"TargetLatencyS":0.3,"Priority":2,"Service":"logview","Attempts":2},
  {"Name":"marker","PathPrefix":"%[5]s/","Kind":"safe","TimeoutS":1.5,"TargetLatencyS":0.3,"Priority":2,"Service":"logview","Attempts":2}]}]}`

// Domain is the host name of the sample configuration.
const Domain = "board.example"

// Marker returns the prefix of the route that a version adds.
func Marker(version int64) string { return fmt.Sprintf("/marker-%d", version) }

// Configure writes the next version of the configuration. It returns the version
// and when the store had it.
func (s *Site) Configure() (version int64, acknowledged time.Time) {
	version = s.version.Add(1)
	text := fmt.Appendf(nil, operators, version, ColdFor.Seconds(), ColdRate, Marker(version), Marker(version-1))
	s.store.Write("op/config", text)
	return version, time.Now()
}

// Evacuate takes a data centre out of service, or back, and returns when the store
// had it.
func (s *Site) Evacuate(dataCentre string, out bool) (acknowledged time.Time) {
	if out {
		s.store.Write("op/evacuate/"+dataCentre, []byte("{}"))
	} else {
		s.store.Remove("op/evacuate/" + dataCentre)
	}
	return time.Now()
}
