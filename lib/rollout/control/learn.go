package control

import (
	"maps"
	"slices"
	"time"

	"savorygap.example/lib/registry"
	"savorygap.example/lib/rollout"
)

// applyUpdate applies records read from the store, and tells the peers of what is new in
// a watch: the next watch of a peer may be much later.
func (c *Controller) applyUpdate(u registry.Update) {
	listed, recorded, members := map[string]bool{}, map[string]bool{}, 0
	for _, r := range u.Records() {
		switch {
		case r.Kind() == registry.KindRollout && !r.Removed():
			c.applyRecord(r)
			recorded[r.Name()] = true
		case r.Kind() == registry.KindRollout:
			c.loseRecord(r.Name(), r.Version())
		case r.Kind() == registry.KindMember && r.Name() != c.config.node:
			members++
		}
	}
	for _, r := range u.Records() {
		if r.Kind() == registry.KindRolloutOrder {
			listed[r.Name()] = !r.Removed()
			c.applyOrder(r)
		}
	}
	if !u.Full() {
		return
	}
	for service, e := range c.rollouts {
		switch order := e.rollout.Order(); {
		case listed[service] || order.Version() > u.Version():
		case order.Version() < u.EraStart():
			c.hold(e, u.EraStart())
		default:
			c.withdraw(e)
		}
	}
	for service := range c.records {
		if !recorded[service] {
			c.loseRecord(service, u.Version())
		}
	}
	c.readVersion, c.listedMembers = u.Version(), members
}

func (c *Controller) applyRecord(r registry.Record) {
	record, err := c.hooks.decodeRecord(r)
	if err != nil {
		c.log.Write("rollout-unreadable", "service", r.Name(), "version", r.Version(), "error", err.Error())
		return
	}
	if c.mergeRecord(r.Name(), record, "store") {
		if e, ok := c.rollouts[r.Name()]; ok {
			c.send(e, false)
		}
	}
}

// loseRecord records that the store had no record of a service at a version.
func (c *Controller) loseRecord(service string, version uint64) {
	if version < c.records[service].Version() {
		return
	}
	if e, ok := c.rollouts[service]; ok && e.rollout.LoseRecord(version) {
		c.log.Write("rollout-record-lost", "service", service, "version", version)
	}
	delete(c.records, service)
}

// mergeRecord adopts a record that is newer than the known one. It reports whether it was.
func (c *Controller) mergeRecord(service string, record rollout.Record, source string) bool {
	if record.Version() <= c.records[service].Version() {
		return false
	}
	c.records[service] = record
	c.findOwn(service)
	if e, ok := c.rollouts[service]; ok && e.rollout.MergeRecord(c.clock.Now(), record) {
		e.due, e.absent = rollout.Record{}, false
		c.logStep(service, e, source)
	}
	return true
}

func (c *Controller) logStep(service string, e *entry, source string) {
	r := e.rollout.Record()
	if r.Order() != e.rollout.Order().Version() {
		return
	}
	c.log.Write("rollout-step", "service", service, "target", r.Target(), "previous", r.Previous(), "phase", r.Phase().String(), "step", r.Step(), "state", e.rollout.State(),
		"elapsed_ms", e.rollout.Elapsed(c.clock.Now()).Milliseconds(), "version", r.Version(), "order", r.Order(), "source", source)
}

func (c *Controller) applyOrder(r registry.Record) {
	if r.Removed() {
		if e, ok := c.rollouts[r.Name()]; ok && e.rollout.Order().Version() < r.Version() {
			c.withdraw(e)
		}
		return
	}
	order, err := c.hooks.decodeOrder(r)
	if err != nil {
		c.log.Write("rollout-unreadable", "service", r.Name(), "version", r.Version(), "error", err.Error())
		return
	}
	if c.adopt(order, "store") {
		c.rollouts[r.Name()].rollout.LearnElapsed(c.clock.Now(), watchDelay)
		c.send(c.rollouts[r.Name()], false)
	}
}

// adopt begins to follow an order that is newer than the known one, or goes on with the
// rollout of that one if the order is the same. It reports whether it was newer.
func (c *Controller) adopt(order rollout.Order, source string) bool {
	known, ok := c.rollouts[order.Service()]
	if ok && known.rollout.Order().Version() >= order.Version() {
		return false
	}
	if ok && c.continueWith(known, order, source) {
		return true
	}
	now := c.clock.Now()
	r, err := rollout.New(c.charts, order, c.config.bounds, now)
	if err != nil {
		c.log.Write("chart-error", "error", err.Error())
		return false
	}
	if !r.Adopt(c.records[order.Service()]) {
		r.MergeRecord(now, c.records[order.Service()])
	}
	if c.isRolledBackInCopy(order) {
		r.RollBack()
	}
	c.rollouts[order.Service()] = &entry{rollout: r, inForce: c.own[order.Service()] == order.Target()}
	if order.Service() == c.local.service {
		c.tally = rollout.NewTally(c.local.node, c.local.release, c.local.instance)
	}
	c.log.Write("rollout-order", "service", order.Service(), "target", order.Target(), "duration_ms", order.Duration().Milliseconds(), "version", order.Version(), "source", source)
	return true
}

// receive applies what a peer knows of a rollout. An order that a full read of the store
// did not list was removed before. If it is of an older era the store may have lost it, and
// it is held as on the peer.
func (c *Controller) receive(m rollout.Message) {
	order := m.Order()
	c.mergeRecord(order.Service(), m.Record(), "peer")
	_, known := c.rollouts[order.Service()]
	isUnlisted := !known && order.Version() <= c.readVersion
	isOfOlderEra := c.hooks.eraStart(order.Version()) < c.hooks.eraStart(c.readVersion)
	if !known && m.Withdrawn() || isUnlisted && !isOfOlderEra {
		return
	}
	c.adopt(order, "peer")
	e := c.rollouts[order.Service()]
	if e == nil {
		return
	}
	if isUnlisted {
		c.hold(e, c.hooks.eraStart(c.readVersion))
	}
	// A peer that does not know of a restored store yet states the earlier version of the
	// order. What it has counted and decided counts; that the store lacks that version does
	// not.
	isPresent := e.rollout.Order().Version() == order.Version()
	if !isPresent && !e.rollout.Continues(order.Version()) {
		return
	}
	e.rollout.LearnElapsed(c.clock.Now(), m.Elapsed())
	if e.rollout.LearnProgress(c.clock.Now(), m.Record()) {
		e.due = rollout.Record{}
		c.logStep(order.Service(), e, "peer")
	}
	if m.Withdrawn() && isPresent {
		e.heldUntil = time.Time{}
		e.rollout.Withdraw()
	}
	if m.RolledBack() && e.rollout.RollBack() {
		c.log.Write("rollout-verdict", "service", order.Service(), "target", order.Target(), "source", "peer")
	}
	if t := m.Tally(); t != nil && t.Node() != c.config.node {
		e.rollout.MergeTally(*t)
	}
}

// rebuildServers groups the servers by service and finds the version of each service.
func (c *Controller) rebuildServers() {
	c.servers = map[string][]rollout.Server{}
	for _, p := range append(slices.Clone(c.peers), c.local) {
		release := c.releases.Learn(p.instance, p.release)
		c.servers[p.service] = append(c.servers[p.service], rollout.NewServer(p.node, release, p.accepting))
	}
	for service := range c.servers {
		c.findOwn(service)
	}
	if c.tally.Instance() != c.local.instance || c.tally.Release() != c.local.release {
		c.tally = rollout.NewTally(c.local.node, c.releases.Learn(c.local.instance, c.local.release), c.local.instance)
	}
}

// findOwn finds the version that a service has as long as no record of its order tells.
func (c *Controller) findOwn(service string) {
	own := c.recordedRelease(service)
	if own == "" {
		own = rollout.OwnRelease(c.servers[service], c.own[service], c.unproven(service)...)
	}
	if own != "" {
		c.own[service] = own
	}
}

// recordedRelease returns the version that a service has according to the record of its
// last rollout, "" if no server has it. Most servers may have that of an order which was
// removed or replaced.
func (c *Controller) recordedRelease(service string) string {
	serving := c.records[service].Serving()
	if slices.ContainsFunc(c.servers[service], func(s rollout.Server) bool { return s.Release() == serving }) {
		return serving
	}
	return ""
}

// unproven returns the target version of an order that is not complete, unless the service
// had that version already.
func (c *Controller) unproven(service string) []string {
	if e, ok := c.rollouts[service]; ok && !e.rollout.IsComplete() && !e.inForce {
		return []string{e.rollout.Order().Target()}
	}
	return nil
}

// recordJudgement counts a response of the server on this host.
func (c *Controller) recordJudgement(j Judgement) {
	e, ok := c.rollouts[c.local.service]
	if !ok || e.rollout.IsSettled() {
		return
	}
	if j.instance != c.tally.Instance() || j.release != c.tally.Release() {
		c.tally = rollout.NewTally(c.config.node, j.release, j.instance)
	}
	c.tally = c.tally.Add(j.route, j.bad)
	e.tallied = true
}

// ownOfOthers returns the version of the last record, or that which most servers of the
// service state. The server on this host counts only once its version was found to be that
// of the service.
func (c *Controller) ownOfOthers(service string) string {
	if own := c.recordedRelease(service); own != "" {
		return own
	}
	servers, known := c.servers[service], c.established
	if known == "" || known != c.local.release {
		known = ""
		servers = slices.DeleteFunc(slices.Clone(servers), func(s rollout.Server) bool { return s.Node() == c.config.node })
	}
	return rollout.OwnRelease(servers, known, c.unproven(service)...)
}

// publish tells the node how requests are divided and which versions its server may have,
// if that has changed.
func (c *Controller) publish() {
	policies := make(map[string]rollout.Policy, len(c.servers))
	for service, servers := range c.servers {
		policies[service] = rollout.NewPolicy(c.own[service])
		if e, ok := c.rollouts[service]; ok {
			policies[service] = e.rollout.Policy(servers, c.own[service])
		}
	}
	if !maps.EqualFunc(policies, c.policies, rollout.Policy.Equal) {
		c.policies = policies
		c.hooks.policies(policies)
	}
	if a := c.nextAdmission(); !a.Equal(c.admission) {
		c.admission = a
		c.hooks.admission(a)
	}
	c.publishCurrent()
}

// nextAdmission returns which versions the server on this host may have. Until the store
// was read or a peer is linked, it is not known whether an order names its version. While
// few of the listed nodes are linked, those may be the other hosts of a new version.
func (c *Controller) nextAdmission() rollout.Admission {
	service, now := c.local.service, c.clock.Now()
	own := c.ownOfOthers(service)
	e, ordered := c.rollouts[service]
	hasRecord := ordered && e.rollout.Record().Order() == e.rollout.Order().Version()
	if !hasRecord && (c.readVersion == 0 && len(c.peers) == 0 || 2*len(c.peers) < c.listedMembers && now.Sub(c.startedAt) < settlingTime) {
		return rollout.Admission{}
	}
	if ordered {
		if own == "" && c.local.release != e.rollout.Order().Target() {
			own = c.local.release
		}
		return rollout.NewAdmission(e.rollout.IsUnderWay(), e.rollout.Admitted(now, own)...)
	}
	if own != "" {
		c.established = own
		return rollout.NewAdmission(false, own)
	}
	c.established = c.local.release
	return rollout.AdmitAny()
}
