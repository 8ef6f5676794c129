package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"savorygap.example/platform"
	"savorygap.example/platform/platformtest"
)

// attempt is one request of a caller.
type attempt struct {
	id     string
	sentAt time.Time
}

// load sends requests at a steady rate, to all hosts in turn.
type load struct {
	fleet    *fleet
	client   *http.Client
	path     string
	key      string
	deadline time.Duration
	number   atomic.Int64
	prefix   string
	hosts    []*host   // that the requests are sent to, in turn
	attempts []attempt // owned by the goroutine that calls run
}

func (f *fleet) newLoad(prefix, path, key string, deadline time.Duration) *load {
	return &load{fleet: f, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, path: path, key: key, deadline: deadline, prefix: prefix, hosts: f.hosts}
}

// run sends perSecond requests a second for the given time, without waiting for answers.
func (l *load) run(perSecond float64, duration time.Duration) {
	started := time.Now()
	for n := 0; ; n++ {
		due := started.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))
		if due.Sub(started) >= duration || l.fleet.ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(due))
		number := l.number.Add(1)
		a := attempt{id: fmt.Sprintf("%s%d", l.prefix, number), sentAt: time.Now()}
		l.attempts = append(l.attempts, a)
		go l.send(a, l.hosts[int(number)%len(l.hosts)])
	}
}

func (l *load) send(a attempt, h *host) {
	names := platform.HeaderNames()
	ctx, cancel := context.WithTimeout(l.fleet.ctx, l.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.address(portCallers)+l.path+a.id, nil)
	if err != nil {
		return
	}
	request.Host = platformtest.VirtualHost
	request.Header.Set(names.AttemptID(), a.id)
	request.Header.Set(names.Timeout(), strconv.FormatInt(l.deadline.Milliseconds(), 10))
	if l.key != "" {
		request.Header.Set("Authorization", platform.AuthenticationScheme+" "+l.key)
	}
	l.fleet.record.write(a.sentAt, "caller sends %s to %s", a.id, h.name)
	response, err := l.client.Do(request)
	if err != nil {
		l.fleet.record.write(time.Now(), "caller gets no answer to %s: %v", a.id, err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	l.fleet.record.write(time.Now(), "caller gets %d for %s", response.StatusCode, a.id)
}
