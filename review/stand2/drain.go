package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// The bounds of the deployment, and the size of the jump of the time of day, which is that of
// the site file.
const (
	drainBound    = 2 * time.Second
	clockJump     = 2400 * time.Millisecond
	drainHosts    = 6
	drainRate     = 80.0
	firstLife     = 1200 * time.Millisecond
	downTime      = 700 * time.Millisecond
	servesOn      = 8 * time.Second // after its leave was acknowledged
	settleTime    = 8 * time.Second // at least ContactS after the jump and the crash
	leaveInterval = 500 * time.Millisecond
)

// playDrain has a server crash soon after its start and start again under its Id. With the
// disruption, the time of day of its machine is ahead at the first start and right at the
// second. Later the server leaves.
func playDrain(f *fleet, trouble bool) error {
	f.store.PutConfiguration(1, 0, 30, 1000)
	if err := f.addHosts(drainHosts, "logview", 20*time.Millisecond); err != nil {
		return err
	}
	if err := f.start(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	l := f.newLoad("d", "/open/", "", time.Second)
	loadEnded := make(chan struct{})
	go func() {
		defer close(loadEnded)
		l.run(drainRate, firstLife+downTime+settleTime+servesOn+2*time.Second)
	}()
	acknowledged, err := leaveAfterRestart(f, f.hosts[1].server, trouble)
	if err != nil {
		return err
	}
	time.Sleep(servesOn)
	<-loadEnded
	time.Sleep(time.Second)
	return judgeDrain(f, f.hosts[1].server, acknowledged)
}

// leaveAfterRestart returns when the leave of the server was acknowledged.
func leaveAfterRestart(f *fleet, b *backend, trouble bool) (time.Time, error) {
	ahead := time.Duration(0)
	if trouble {
		ahead = clockJump
		f.record.note("the time of day jumps %s ahead on the machine of %s", clockJump, b.id)
	}
	b.stop()
	time.Sleep(downTime)
	if err := b.restart(fmt.Sprintf("%s-new", b.id), ahead); err != nil {
		return time.Time{}, err
	}
	f.record.note("%s starts, born %d", b.name(), b.born.Load())
	time.Sleep(firstLife)
	b.stop()
	f.record.note("%s crashes; the time of day jumps back", b.name())
	time.Sleep(downTime)
	if err := b.restart(b.name(), 0); err != nil {
		return time.Time{}, err
	}
	f.record.note("%s starts again under its Id, born %d", b.name(), b.born.Load())
	time.Sleep(settleTime)
	body, err := json.Marshal(map[string]any{"born": b.born.Load()})
	if err != nil {
		return time.Time{}, err
	}
	client := &http.Client{Timeout: time.Second}
	b.silent.Store(true)
	for range 10 {
		request, err := http.NewRequest(http.MethodDelete, "http://"+b.host.address(portAnnouncements)+"/v1/instances/"+b.name(), bytes.NewReader(body))
		if err != nil {
			return time.Time{}, err
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err == nil {
			_ = response.Body.Close()
			f.record.note("%s leaves: answer %d", b.name(), response.StatusCode)
			if response.StatusCode < http.StatusMultipleChoices {
				b.leaving.Store(true)
				return time.Now(), nil
			}
		}
		time.Sleep(leaveInterval)
	}
	return time.Time{}, fmt.Errorf("the leave of %s was not acknowledged", b.name())
}

// judgeDrain counts what reached the server later than the bound after its leave was
// acknowledged. A request that the server rejected as meant for another instance is no breach.
func judgeDrain(f *fleet, b *backend, acknowledged time.Time) error {
	count, first := 0, ""
	for _, e := range <-f.seen {
		if e.server == b.name() && e.what != misdirected && e.at.After(acknowledged.Add(drainBound)) {
			if count == 0 {
				first = fmt.Sprintf(", the first %s, %.3f s after it", e.id, e.at.Sub(acknowledged).Seconds())
			}
			count++
		}
	}
	f.record.note("DRAIN: %d requests reached %s later than %s after its leave was acknowledged%s", count, b.name(), drainBound, first)
	if count > 0 {
		return fmt.Errorf("%w: %d requests", errBroken, count)
	}
	return nil
}
