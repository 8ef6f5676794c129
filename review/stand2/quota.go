package main

import (
	"fmt"
	"sort"
	"time"

	"savorygap.example/platform/platformtest"
)

// The limit of the tenant, in requests a second, with a burst of one second; the bounds of
// the deployment; and the doses of the disruptions, which are those of the site file.
const (
	quotaRate      = 60.0
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20.0
	usualShare     = 0.625 // the limit is 1.6 times the usual demand
	floodFactor    = 7.5
	floodTime      = 6500 * time.Millisecond
	quotaOutage    = 4500 * time.Millisecond
	quotaHosts     = 10
)

// playQuota kills nine of ten nodes at the start of an outage of the store, while one tenant
// sends many times its usual demand.
func playQuota(f *fleet, trouble bool) error {
	f.store.PutConfiguration(1, 0, 30, quotaRate)
	if err := f.addHosts(quotaHosts, "logview", 20*time.Millisecond); err != nil {
		return err
	}
	if err := f.start(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	l := f.newLoad("q", "/logview/", platformtest.TenantKey(platformtest.FloodingTenant), time.Second)
	l.run(usualShare*quotaRate, 3*time.Second)
	failed := make(chan error, 1)
	go func() {
		if !trouble {
			failed <- nil
			return
		}
		f.setStoreDown(true)
		err := f.killAndRestart(f.hosts[1:])
		time.Sleep(quotaOutage - restartDelay)
		f.setStoreDown(false)
		failed <- err
	}()
	f.record.note("the tenant sends %.0f requests a second", floodFactor*usualShare*quotaRate)
	l.run(floodFactor*usualShare*quotaRate, floodTime)
	l.run(usualShare*quotaRate, 2*time.Second)
	if err := <-failed; err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	return judgeQuota(f, l.attempts)
}

// judgeQuota counts the requests of the tenant that were sent and run within a window.
func judgeQuota(f *fleet, attempts []attempt) error {
	sent := map[string]time.Time{}
	for _, a := range attempts {
		sent[a.id] = a.sentAt
	}
	type pair struct{ sent, ran time.Time }
	var list []pair
	known := map[string]bool{}
	for _, e := range <-f.seen {
		if e.what == ran && e.tenant == platformtest.FloodingTenant && !known[e.id] {
			known[e.id] = true
			list = append(list, pair{sent[e.id], e.at})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].sent.Before(list[j].sent) })
	allowed := (quotaRate*quotaWindow.Seconds()+quotaRate)*(1+quotaOvershoot) + quotaSlack
	most, at := 0, time.Time{}
	for i, first := range list {
		end, count := first.sent.Add(quotaWindow), 0
		for _, p := range list[i:] {
			if !p.sent.After(end) && !p.ran.After(end) {
				count++
			}
		}
		if count > most {
			most, at = count, first.sent
		}
	}
	f.record.note("QUOTA: %d requests of the tenant were sent and run within 5 s from %.3f on; allowed %.0f", most, at.Sub(f.record.started).Seconds(), allowed)
	if float64(most) > allowed {
		return fmt.Errorf("%w: %d requests in a window, allowed %.0f", errBroken, most, allowed)
	}
	return nil
}
