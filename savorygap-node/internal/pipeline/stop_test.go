package pipeline_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestStoppingNode_AnswersWhatItPassedOn stops a node under load. Callers use fresh and
// kept connections and send requests in pairs without waiting for the first answer,
// until the process is gone. A request that a server ran must have been answered.
func TestStoppingNode_AnswersWhatItPassedOn(t *testing.T) {
	const callers = 12
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 60*time.Millisecond)
	answered := make(chan string, 1<<16)
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() {
			c := &pipeliningCaller{address: a.addresses["callers"], name: fmt.Sprint("caller-", n), keep: n%2 == 0, answered: answered}
			c.sendUntil(a.done)
		})
	}
	time.Sleep(500 * time.Millisecond)
	a.signals <- syscall.SIGTERM
	group.Wait()
	close(answered)
	got := map[string]bool{}
	for id := range answered {
		got[id] = true
	}
	ran := takeRequestIDs(b.server)
	must.Greater(t, 100, len(ran))
	for _, id := range ran {
		must.True(t, got[id], must.Sprint(id+" ran and was not answered"))
	}
}

// patientRoute has requests that may wait for a slot and take for longer than a planned
// stop lasts.
const patientRoute = `,{"Name":"patient","PathPrefix":"/patient/","Kind":"unsafe","TimeoutS":30,"TargetLatencyS":15,"Priority":1,"Service":"shop","Attempts":2}`

// sendOrder sends an order of the patient route, with a deadline of 30 s, on a connection
// of its own.
func (h *host) sendOrder(id string) (result, error) {
	return h.sendWithin(context.Background(), "30000", http.MethodPost, "/patient/1", id, "")
}

// TestStoppingNode_AnswersWhatWaitsForASlot guards against orders that are dropped without
// an answer at a planned stop because they still wait for a slot when the process ends.
// Another node keeps the server busy all the while.
func TestStoppingNode_AnswersWhatWaitsForASlot(t *testing.T) {
	const (
		callers = 20                      // at each node; the server has 10 slots
		maxWait = 4500 * time.Millisecond // 0.3 of the latency objective of the route
	)
	cl := newCluster(t)
	cl.store.Put("op/config", configuration(2, patientRoute))
	a, other := cl.addHost(t, "till", 0), cl.addHost(t, "till", 0)
	cl.addHost(t, "shop", 1500*time.Millisecond)
	for _, h := range []*host{a, other} {
		eventually(t, 10*time.Second, func() bool { r, err := h.sendOrder("first"); return err == nil && r.status == http.StatusOK })
	}
	statuses := make(chan int, 1<<12)
	var group, others sync.WaitGroup
	stop := make(chan struct{})
	for n := range callers {
		group.Go(func() {
			time.Sleep(time.Duration(n) * maxWait / callers)
			a.sendOrders(fmt.Sprint("caller-", n), stop, statuses)
		})
		others.Go(func() { other.sendOrders(fmt.Sprint("other-", n), a.done, nil) })
	}
	time.Sleep(2 * maxWait)
	a.signals <- syscall.SIGTERM
	time.Sleep(2500 * time.Millisecond)
	close(stop)
	group.Wait()
	others.Wait()
	close(statuses)
	counts := map[int]int{}
	for status := range statuses {
		counts[status]++
	}
	must.Eq(t, 0, counts[0], must.Sprint("without an answer; by status: ", counts))
	must.Positive(t, counts[http.StatusOK], must.Sprint(counts))
	must.Positive(t, counts[http.StatusServiceUnavailable], must.Sprint(counts))
}

// sendOrders sends one order after the other until stop is closed, and the status of each
// answer to statuses, unless it is nil; 0 stands for a connection that ended without one.
func (h *host) sendOrders(name string, stop <-chan struct{}, statuses chan<- int) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		r, _ := h.sendOrder(fmt.Sprint(name, "-", i))
		if statuses != nil {
			statuses <- r.status
		}
		if r.status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// TestStoppingNode_RefusesUploadWhoseBodyComesLate guards against uploads that are cut off
// at the end of the grace period: their header was read early in it, their body late.
func TestStoppingNode_RefusesUploadWhoseBodyComesLate(t *testing.T) {
	cl := newCluster(t)
	cl.store.Put("op/config", configuration(2, patientRoute))
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 2600*time.Millisecond)
	eventually(t, 10*time.Second, func() bool { r, err := a.sendOrder("first"); return err == nil && r.status == http.StatusOK })
	takeRequestIDs(b.server)
	conn, err := net.Dial("tcp", a.addresses["callers"])
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	must.NoError(t, conn.SetDeadline(time.Now().Add(15*time.Second)))
	a.signals <- syscall.SIGTERM
	stopped := time.Now()
	_, err = io.WriteString(conn, "POST /patient/1 HTTP/1.1\r\nHost: farm.example\r\nSavorygap-Attempt-Id: upload\r\nSavorygap-Deadline-Ms: 30000\r\nContent-Length: 2\r\n\r\nx")
	must.NoError(t, err)
	time.Sleep(time.Until(stopped.Add(3 * time.Second)))
	_, err = io.WriteString(conn, "x")
	must.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.NoError(t, response.Body.Close())
	must.Eq(t, 0, len(takeRequestIDs(b.server)))
	<-a.done
}

// TestStoppingNode_TakesNoWorkOfOthersThatOutlivesIt guards against orders that are broken
// off because the node beside the server stops: it took them from another node, which can
// only tell its caller then that the outcome is unknown.
func TestStoppingNode_TakesNoWorkOfOthersThatOutlivesIt(t *testing.T) {
	cl := newCluster(t)
	cl.store.Put("op/config", configuration(2, patientRoute))
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 3500*time.Millisecond)
	eventually(t, 10*time.Second, func() bool { r, err := a.sendOrder("first"); return err == nil && r.status == http.StatusOK })
	takeRequestIDs(b.server)
	b.signals <- syscall.SIGTERM
	statuses := make(chan int, 1<<10)
	var group sync.WaitGroup
	for n := range 4 {
		time.Sleep(700 * time.Millisecond)
		group.Go(func() {
			r, err := a.sendOrder(fmt.Sprint("order-", n))
			must.NoError(t, err)
			statuses <- r.status
		})
	}
	group.Wait()
	close(statuses)
	served := 0
	for status := range statuses {
		must.SliceContains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, status)
		if status == http.StatusOK {
			served++
		}
	}
	must.Eq(t, served, len(takeRequestIDs(b.server)))
	must.Less(t, 4, served)
	<-b.done
}

// pipeliningCaller sends two requests at a time on a connection, which it keeps or
// opens anew each time, and passes on the ids of those that were answered.
type pipeliningCaller struct {
	address  string
	name     string
	keep     bool
	answered chan<- string
	sent     int
	conn     net.Conn
}

func (c *pipeliningCaller) sendUntil(done <-chan struct{}) {
	defer c.close()
	for {
		select {
		case <-done:
			return
		default:
		}
		if !c.sendPair() || !c.keep {
			c.close()
		}
	}
}

func (c *pipeliningCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// sendPair reports whether both requests were answered and the connection is kept.
func (c *pipeliningCaller) sendPair() bool {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			return false
		}
		c.conn = conn
	}
	ids := [2]string{fmt.Sprint(c.name, "-", c.sent), fmt.Sprint(c.name, "-", c.sent+1)}
	c.sent += 2
	var text strings.Builder
	for i, id := range ids {
		// Only a read may be sent behind another request.
		method, path := http.MethodGet, "/read/1"
		if i == 0 && c.sent%4 == 0 {
			method, path = http.MethodPost, "/order/1"
		}
		fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: farm.example\r\nSavorygap-Attempt-Id: %s\r\nSavorygap-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n", method, path, id)
	}
	if _, err := io.WriteString(c.conn, text.String()); err != nil {
		return false
	}
	reader := bufio.NewReader(c.conn)
	for _, id := range ids {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return false
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return false
		}
		_ = response.Body.Close()
		c.answered <- id
		if response.Close {
			return false
		}
	}
	return true
}
