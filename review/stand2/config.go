package main

import (
	"fmt"
	"time"

	"savorygap.example/platform/platformtest"
)

// The bound of the deployment; the cuts, whose share and length are below those of the site
// file; and the bandwidths of the machines, which lie in the range of the deployment.
const (
	configBound  = 2500 * time.Millisecond
	configHosts  = 12
	cutHosts     = 4 // of 12, a share of 0.33
	cutTime      = 4200 * time.Millisecond
	changeAfter  = 100 * time.Millisecond
	calmTime     = 3900 * time.Millisecond // between two cuts, at least ContactS
	fastLink     = 200.0                   // Mbit/s
	slowLink     = 10.0
	probeRate    = 40.0
	configRounds = 12
)

// playConfig cuts the machines with the fastest links off the store again and again, and each
// time drops a route and a key just after. Callers go on sending to the machines that are
// not cut off.
func playConfig(f *fleet, trouble bool) error {
	f.withStoreProxies = true
	f.store.PutConfiguration(1, 0, 30, 1000)
	f.store.PutConfiguration(2, 0, 30, 1000)
	for i := range configHosts {
		f.linkMegabits = slowLink
		if i < cutHosts {
			f.linkMegabits = fastLink
		}
		if err := f.addHosts(1, "logview", 20*time.Millisecond); err != nil {
			return err
		}
	}
	if err := f.start(); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	late := 0
	for version := int64(3); version < 3+configRounds; version++ {
		late += f.dropRouteAndKey(version, trouble)
	}
	f.record.note("CONFIG: %d requests with a dropped route or key were sent later than %s after the acknowledgement, from machines that were not cut off, and run", late, configBound)
	if late > 0 {
		return fmt.Errorf("%w: %d requests", errBroken, late)
	}
	return nil
}

// dropRouteAndKey writes a version, which drops the route and the key that the second one
// before it has added, and returns how many requests with either were sent too late and run.
func (f *fleet) dropRouteAndKey(version int64, trouble bool) int {
	dropped := version - 2
	f.setCut(trouble)
	time.Sleep(changeAfter)
	f.store.PutConfiguration(version, 0, 30, 1000)
	acknowledged := time.Now()
	f.record.note("version %d is acknowledged; it drops the route and the key of version %d", version, dropped)
	route := f.newLoad(fmt.Sprintf("r%d-", version), platformtest.MarkerPrefix(dropped)+"/", platformtest.TenantKey(platformtest.UnlimitedTenant), time.Second)
	key := f.newLoad(fmt.Sprintf("k%d-", version), "/logview/", platformtest.MarkerKey(dropped), time.Second)
	route.hosts, key.hosts = f.hosts[cutHosts:], f.hosts[cutHosts:]
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		route.run(probeRate, cutTime-changeAfter)
	}()
	key.run(probeRate, cutTime-changeAfter)
	<-ended
	f.setCut(false)
	time.Sleep(calmTime)
	return judgeConfig(f, append(route.attempts, key.attempts...), version, acknowledged)
}

// setCut cuts the machines with the fastest links off the store, or ends the cut.
func (f *fleet) setCut(cut bool) {
	for _, h := range f.hosts[:cutHosts] {
		h.proxy.cut.Store(cut)
	}
	if cut {
		f.record.note("%d of %d machines are cut off the store", cutHosts, len(f.hosts))
	}
}

// judgeConfig returns how many of the requests were sent later than the bound after the
// acknowledgement and run all the same.
func judgeConfig(f *fleet, attempts []attempt, version int64, acknowledged time.Time) int {
	isRun := map[string]bool{}
	for _, e := range <-f.seen {
		if e.what == ran {
			isRun[e.id] = true
		}
	}
	count, last := 0, time.Duration(0)
	for _, a := range attempts {
		if !isRun[a.id] {
			continue
		}
		after := a.sentAt.Sub(acknowledged)
		last = max(last, after)
		if after > configBound {
			count++
		}
	}
	f.record.note("the last request that version %d drops and that ran was sent %.3f s after the acknowledgement; %d were sent later than %s", version, last.Seconds(), count, configBound)
	return count
}
