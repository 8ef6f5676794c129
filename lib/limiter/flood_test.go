package limiter_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/limiter"
)

// The load of the simulation, which is that of one service of the first customer at a
// smaller scale: 77 tenants whose demand falls with their rank to the power of 1.2, 16
// requests a second for each server, 9 slots each, a quarter of the servers 4 times slower
// for 300 ms at a time, and requests that ask 5 servers and wait for 120 ms at most.
const (
	simServers     = 20
	simTenants     = 77
	simSlots       = 9
	simPerServer   = 16.0                   // requests a second
	simServiceTime = 225 * time.Millisecond // with the slow servers, 9 of 10 ordinary slots are in use
	simWait        = 120 * time.Millisecond
	simSampled     = 5
	simStep        = 2 * time.Millisecond
	simWarmUp      = 2 * time.Second
	simMeasured    = 6 * time.Second
	simSlowPeriod  = 300 * time.Millisecond
	simFlood       = 6.0 // times the usual demand
)

// usualDemand returns the usual demand of a tenant, relative to that of the largest.
func usualDemand(tenant int) float64 { return math.Pow(float64(tenant+1), -1.2) }

// simRequest is a request that looks for a slot, or runs.
type simRequest struct {
	number  uint64
	tenant  int
	asked   []int
	counted bool
	server  int
	endsAt  time.Time
}

// simulation sends the requests of tenants to limiters.
type simulation struct {
	random   *rand.Rand
	servers  []*limiter.Limiter
	slow     []bool
	waiting  map[uint64]*simRequest
	running  []*simRequest
	last     uint64
	shared   bool // whether slot requests carry the tenant
	arrived  [simTenants]int
	served   [simTenants]int
	inWindow bool
}

// simulate returns how many requests of each tenant arrive and are served while tenant
// flooding, if it is not negative, sends simFlood times its usual demand. shared is whether
// slot requests carry their tenant.
func simulate(seed uint64, flooding int, shared bool) (arrived, served [simTenants]int) {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), waiting: map[uint64]*simRequest{}, slow: make([]bool, simServers), shared: shared}
	for range simServers {
		s.servers = append(s.servers, limiter.New(simSlots))
	}
	var rates [simTenants]float64
	total := 0.0
	for i := range rates {
		rates[i] = usualDemand(i)
		total += rates[i]
	}
	for i := range rates {
		rates[i] *= simPerServer * simServers / total
	}
	if flooding >= 0 {
		rates[flooding] *= simFlood
	}
	nextTurn := start
	for now := start; now.Before(start.Add(simWarmUp + simMeasured)); now = now.Add(simStep) {
		s.inWindow = now.Sub(start) >= simWarmUp
		if !now.Before(nextTurn) {
			nextTurn = now.Add(simSlowPeriod)
			for i, n := range s.random.Perm(simServers) {
				s.slow[n] = i < simServers/4
			}
		}
		s.finish(now)
		for tenant, rate := range rates {
			for n := s.poisson(rate * simStep.Seconds()); n > 0; n-- {
				s.arrive(now, tenant)
			}
		}
		for i := range s.servers {
			s.advance(now, i)
		}
	}
	return s.arrived, s.served
}

func (s *simulation) poisson(mean float64) int {
	n, p, limit := 0, s.random.Float64(), math.Exp(-mean)
	for ; p > limit; n++ {
		p *= s.random.Float64()
	}
	return n
}

// finish ends the requests whose time is over and frees their slots.
func (s *simulation) finish(now time.Time) {
	kept := s.running[:0]
	for _, r := range s.running {
		if now.Before(r.endsAt) {
			kept = append(kept, r)
			continue
		}
		s.servers[r.server].Release(key(int(r.number)))
	}
	s.running = kept
}

// arrive has a request ask several servers for a slot.
func (s *simulation) arrive(now time.Time, tenant int) {
	s.last++
	r := &simRequest{number: s.last, tenant: tenant, counted: s.inWindow}
	if r.counted {
		s.arrived[tenant]++
	}
	request := limiter.NewRequest(1, false, simWait)
	if s.shared {
		request = request.WithTenant(fmt.Sprint("tenant-", tenant)).WithWeight(usualDemand(tenant))
	}
	best, cost := -1, 0.0
	r.asked = s.random.Perm(simServers)[:simSampled]
	for _, i := range r.asked {
		d := s.servers[i].Reserve(now, key(int(r.number)), request)
		if d.Status() == limiter.Granted && (best < 0 || d.Cost() < cost) {
			best, cost = i, d.Cost()
		}
	}
	if best >= 0 {
		s.start(now, r, best)
		return
	}
	s.waiting[r.number] = r
}

// start sends a request to the server that offered a slot, and withdraws it elsewhere.
func (s *simulation) start(now time.Time, r *simRequest, server int) {
	for _, i := range r.asked {
		if i != server {
			s.servers[i].Withdraw(key(int(r.number)))
		}
	}
	delete(s.waiting, r.number)
	s.servers[server].Start(now, key(int(r.number)))
	took := simServiceTime
	if s.slow[server] {
		took *= 4
	}
	r.server, r.endsAt = server, now.Add(time.Duration(float64(took)*(0.5+s.random.Float64())))
	s.running = append(s.running, r)
	if r.counted {
		s.served[r.tenant]++
	}
}

// advance hands out the free slots of a server.
func (s *simulation) advance(now time.Time, server int) {
	for _, d := range s.servers[server].Advance(now) {
		r, ok := s.waiting[d.Key().Number()]
		if d.Status() != limiter.Granted {
			continue
		}
		if !ok {
			s.servers[server].Withdraw(d.Key())
			continue
		}
		s.start(now, r, server)
	}
}

// servedShare returns the share of the requests of all tenants but one that were served.
func servedShare(arrived, served [simTenants]int, except int) float64 {
	a, n := 0, 0
	for i := range arrived {
		if i != except {
			a, n = a+arrived[i], n+served[i]
		}
	}
	return float64(n) / float64(a)
}

// simSeeds is how many seeds the shares are averaged over.
const simSeeds = 3

// floodCosts returns, for each flooding tenant, the share of the requests of the other
// tenants that its flood costs, and the largest share that it costs one of the ten largest.
func floodCosts(flooding []int, shared bool) (others, worst map[int]float64) {
	others, worst = map[int]float64{}, map[int]float64{}
	for seed := range uint64(simSeeds) {
		calmArrived, calmServed := simulate(seed, -1, shared)
		for _, f := range flooding {
			arrived, served := simulate(seed, f, shared)
			others[f] += (servedShare(calmArrived, calmServed, f) - servedShare(arrived, served, f)) / simSeeds
			for i := range 10 {
				if i != f {
					calm := float64(calmServed[i]) / float64(calmArrived[i])
					worst[f] = max(worst[f], calm-float64(served[i])/float64(arrived[i]))
				}
			}
		}
	}
	return others, worst
}

// floodingTenants are ranks of tenants whose flood exceeds the capacity of the servers, or
// comes near it.
var floodingTenants = []int{0, 1, 3, 8}

// TestFloodOfOneTenant_CostsOthersLessThanFiveInAHundred guards against a tenant whose
// flood takes the slots of those that send as much as usual.
func TestFloodOfOneTenant_CostsOthersLessThanFiveInAHundred(t *testing.T) {
	others, worst := floodCosts(floodingTenants, true)
	t.Log("cost to the others, by flooding tenant: ", others, ", to the worst off of the ten largest: ", worst)
	for _, f := range floodingTenants {
		must.Less(t, 0.05, others[f], must.Sprint(f))
		must.Less(t, 0.15, worst[f], must.Sprint(f))
	}
}

// TestFloodOfOneTenant_WithoutTenantsCostsOthersMore shows that the simulated flood is one
// that costs the others their requests where slot requests do not carry a tenant.
func TestFloodOfOneTenant_WithoutTenantsCostsOthersMore(t *testing.T) {
	flooding := floodingTenants[:3]
	others, worst := floodCosts(flooding, false)
	t.Log("cost to the others, by flooding tenant: ", others, ", to the worst off of the ten largest: ", worst)
	for _, f := range flooding {
		must.Greater(t, 0.05, others[f], must.Sprint(f))
	}
}
