package main

import (
	"fmt"
	"sort"
	"time"
)

// The bounds of the deployment, and the doses of the disruptions, which are those of the
// site file.
const (
	budgetRatio   = 0.2
	budgetMinimum = 58.0
	budgetWindow  = 10 * time.Second
	budgetOutage  = 8 * time.Second
	budgetShed    = 55 // percent
	budgetRate    = 100.0
	budgetHosts   = 10
)

// playBudget kills nodes while the store is down and servers reject a part of their requests.
func playBudget(f *fleet, trouble bool) error {
	f.store.PutConfiguration(1, 0, 30, 1000)
	if err := f.addHosts(budgetHosts, "logview", 20*time.Millisecond); err != nil {
		return err
	}
	if err := f.start(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	l := f.newLoad("b", "/open/", "", time.Second)
	l.run(budgetRate, budgetWindow)
	failed := make(chan error, 1)
	go func() { failed <- disturbBudget(f, trouble) }()
	l.run(budgetRate, budgetOutage+4*time.Second)
	if err := <-failed; err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	return judgeBudget(f, l.attempts)
}

func disturbBudget(f *fleet, trouble bool) error {
	started := time.Now()
	setShed := func(percent int64) {
		for _, h := range f.hosts {
			h.server.shed.Store(percent)
		}
		f.record.note("servers reject %d in 100 requests", percent)
	}
	if trouble {
		f.setStoreDown(true)
		if err := f.killAndRestart(f.hosts[1:]); err != nil {
			return err
		}
		time.Sleep(500 * time.Millisecond)
	}
	setShed(budgetShed)
	time.Sleep(budgetOutage - time.Since(started))
	if trouble {
		f.setStoreDown(false)
	}
	time.Sleep(500 * time.Millisecond)
	setShed(0)
	return nil
}

// judgeBudget compares the arrivals beyond the first of each request with what the rule
// allows, for each window that begins with one of them.
func judgeBudget(f *fleet, attempts []attempt) error {
	var again []time.Time
	known := map[string]bool{}
	all := <-f.seen
	sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	for _, e := range all {
		if known[e.id] {
			again = append(again, e.at)
		}
		known[e.id] = true
	}
	requests := func(from time.Time) int {
		n := 0
		for _, a := range attempts {
			if !a.sentAt.Before(from) && a.sentAt.Before(from.Add(budgetWindow)) {
				n++
			}
		}
		return n
	}
	worst, note := 0.0, "no arrival beyond the first of a request"
	for i, from := range again {
		count := sort.Search(len(again)-i, func(j int) bool { return again[i+j].After(from.Add(budgetWindow)) })
		most := max(requests(from), requests(from.Add(-budgetWindow)), requests(from.Add(-budgetWindow/2)))
		allowed := budgetRatio*float64(most) + budgetMinimum
		if over := float64(count) - allowed; i == 0 || over > worst {
			worst, note = over, fmt.Sprintf("%d arrivals beyond the first within 10 s from %.3f on, of %d requests; allowed %.1f", count, from.Sub(f.record.started).Seconds(), most, allowed)
		}
	}
	f.record.note("BUDGET: %s", note)
	if worst > 0 {
		return fmt.Errorf("%w: %s", errBroken, note)
	}
	return nil
}
