package store

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/document"
	"savorygap.example/lib/task"
	"savorygap.example/lib/wire"
)

const (
	// ConfigurationKey is the key of the configuration document.
	ConfigurationKey = "savorygap/configuration"
	// ContactPrefix is the prefix of the keys of contact entries.
	ContactPrefix = "savorygap/contacts/"

	watchTimeout           = 30 * time.Second
	callTimeout            = 5 * time.Second
	contactLeaseTTL        = 60 * time.Second
	contactRenewalInterval = 20 * time.Second
	pollInterval           = 5 * time.Minute
	initialBackoff         = 500 * time.Millisecond
	maxBackoff             = 30 * time.Second
	jitterFraction         = 0.5 // of the delay
	// discoveryDuration is how long a node lists the contacts at short intervals
	// after it wrote its own entry, so that groups of nodes that formed separately
	// find each other.
	discoveryDuration       = 30 * time.Second
	discoveryInterval       = 2 * time.Second
	initialIsolatedInterval = time.Second
	maxIsolatedInterval     = 20 * time.Second
)

// ContactForm is the JSON representation of a contact entry: the name and the
// control address of a node.
type ContactForm struct {
	Name    string `json:"name"`
	Control string `json:"control"`
}

// WatcherHooks are callbacks for the data that a Watcher reads from the store.
type WatcherHooks struct {
	onDocument func(*document.Document)
	onContacts func([]ContactForm)
	onFailure  func(call string, err error)
}

// NewWatcherHooks returns hooks. onDocument gets every configuration document,
// onContacts the contact entries of the other nodes, and onFailure the error of
// every failed call and whether it concerned the "configuration" or the
// "contact" entry.
func NewWatcherHooks(onDocument func(*document.Document), onContacts func([]ContactForm), onFailure func(string, error)) WatcherHooks {
	return WatcherHooks{onDocument: onDocument, onContacts: onContacts, onFailure: onFailure}
}

// Watcher runs two tasks. One reads or watches the configuration in the store,
// and the other lists the contact entries and maintains the node's own entry.
// SetRole decides what they do.
type Watcher struct {
	client             *Client
	clock              clockwork.Clock
	rng                *rand.Rand
	startJitter        time.Duration
	self               ContactForm
	dataCentre         string
	hooks              WatcherHooks
	watchUpdates       *task.Latest[bool]
	contactRoleUpdates *task.Latest[contactRole]
}

// NewWatcher returns a watcher for the node self in a data centre. Call Run to
// start it.
func NewWatcher(client *Client, clock clockwork.Clock, rng *rand.Rand, self ContactForm, dataCentre string, hooks WatcherHooks) *Watcher {
	return &Watcher{
		client: client, clock: clock, rng: rng, self: self, dataCentre: dataCentre, hooks: hooks,
		watchUpdates: task.NewLatest[bool](), contactRoleUpdates: task.NewLatest[contactRole](),
	}
}

// contactRole says whether the node keeps a contact entry and whether it has no
// peers.
type contactRole struct {
	contactNode bool
	isolated    bool
}

// WithStartJitter sets the maximum random delay before the first calls and
// returns the watcher. It spreads the load when many nodes start together.
func (w *Watcher) WithStartJitter(d time.Duration) *Watcher {
	w.startJitter = d
	return w
}

// SetRole sets whether the node watches the configuration, whether it keeps a
// contact entry, and whether it is isolated, that is, has no peers and needs to
// find contacts. It must not be called concurrently.
func (w *Watcher) SetRole(watcher, contactNode, isolated bool) {
	w.watchUpdates.Put(watcher)
	w.contactRoleUpdates.Put(contactRole{contactNode: contactNode, isolated: isolated})
}

// Run runs both tasks until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	if w.startJitter > 0 {
		select {
		case <-ctx.Done():
			return
		case <-w.clock.After(time.Duration(w.rng.Int64N(int64(w.startJitter)))):
		}
	}
	done := make(chan struct{})
	contactRNG := rand.New(rand.NewPCG(w.rng.Uint64(), 1))
	configurationRNG := rand.New(rand.NewPCG(w.rng.Uint64(), 2))
	go func() {
		defer close(done)
		w.maintainContact(ctx, contactRNG)
	}()
	w.watchConfiguration(ctx, configurationRNG)
	<-done
}

// watchConfiguration reads the document once. Afterwards it watches the document
// while the node is a watcher, and otherwise polls it about every pollInterval.
func (w *Watcher) watchConfiguration(ctx context.Context, rng *rand.Rand) {
	after, failures, watching, hasRead := Version(0), 0, false, false
	for ctx.Err() == nil {
		select {
		case watching = <-w.watchUpdates.Values():
		default:
		}
		entry, err := w.readConfiguration(ctx, watching && hasRead, after)
		if err != nil {
			w.hooks.onFailure("configuration", err)
			failures++
			w.waitOrRoleChange(ctx, backoff(rng, failures), &watching)
			continue
		}
		failures, hasRead = 0, true
		if entry.Version() > after || entry.Version() == 0 {
			after = entry.Version()
			w.deliver(entry)
		}
		if !watching {
			w.waitOrRoleChange(ctx, jittered(rng, pollInterval), &watching)
		}
	}
}

func (w *Watcher) readConfiguration(ctx context.Context, watch bool, after Version) (Entry, error) {
	if watch {
		ctx, cancel := context.WithTimeout(ctx, watchTimeout+callTimeout)
		defer cancel()
		return w.client.Watch(ctx, ConfigurationKey, after, watchTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return w.client.Get(ctx, ConfigurationKey)
}

func (w *Watcher) deliver(e Entry) {
	if len(e.Value()) == 0 {
		w.hooks.onDocument(document.Empty())
		return
	}
	d, err := wire.DecodeDocument(e.Value())
	if err != nil {
		w.hooks.onFailure("configuration", err)
		return
	}
	w.hooks.onDocument(d)
}

// waitOrRoleChange waits for d, or until the role changes or ctx ends. It stores
// the new role in watching.
func (w *Watcher) waitOrRoleChange(ctx context.Context, d time.Duration, watching *bool) {
	select {
	case <-ctx.Done():
	case <-w.clock.After(d):
	case *watching = <-w.watchUpdates.Values():
	}
}

// backoff returns the delay after consecutive failures. The bound of the shift
// prevents an overflow.
func backoff(rng *rand.Rand, failures int) time.Duration {
	return jittered(rng, min(initialBackoff<<min(failures, 8), maxBackoff))
}

// jittered returns a random delay, uniformly distributed around d, so that the
// nodes do not call at the same time.
func jittered(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterFraction/2 + jitterFraction*rng.Float64()))
}

// contactState is the state of the task that maintains the contact entry.
type contactState struct {
	role           contactRole
	lease          LeaseID
	listedAt       time.Time
	writtenAt      time.Time
	renewedAt      time.Time
	isolatedRounds int
	failures       int
}

// maintainContact lists the contacts and, while the node is a contact node,
// keeps a contact entry with a lease. An isolated node lists more often.
func (w *Watcher) maintainContact(ctx context.Context, rng *rand.Rand) {
	s := &contactState{role: contactRole{isolated: true}}
	for ctx.Err() == nil {
		select {
		case s.role = <-w.contactRoleUpdates.Values():
		default:
		}
		wait := w.updateContact(ctx, rng, s)
		select {
		case <-ctx.Done():
		case <-w.clock.After(wait):
		case s.role = <-w.contactRoleUpdates.Values():
		}
	}
	w.revokeContact(s.lease)
}

// updateContact runs one round of calls and returns the delay until the next
// one.
func (w *Watcher) updateContact(ctx context.Context, rng *rand.Rand, s *contactState) time.Duration {
	if err := w.syncContacts(ctx, s); err != nil {
		s.failures++
		w.hooks.onFailure("contact", err)
		return backoff(rng, s.failures)
	}
	s.failures = 0
	if s.role.isolated {
		s.isolatedRounds++
		return jittered(rng, min(initialIsolatedInterval<<min(s.isolatedRounds, 8), maxIsolatedInterval))
	}
	s.isolatedRounds = 0
	if s.role.contactNode && w.clock.Now().Sub(s.writtenAt) < discoveryDuration {
		return jittered(rng, discoveryInterval)
	}
	return jittered(rng, contactRenewalInterval)
}

// syncContacts renews the node's entry and lists the contacts, as far as the
// role requires. If the node's own entry is missing, the next round renews it
// even if it was renewed recently.
func (w *Watcher) syncContacts(ctx context.Context, s *contactState) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if s.role.contactNode {
		if err := w.renewContact(ctx, s); err != nil {
			return err
		}
	}
	if !s.role.contactNode && !s.role.isolated && !s.listedAt.IsZero() {
		return nil
	}
	found, err := w.listContacts(ctx)
	if err != nil {
		return err
	}
	if !found {
		s.renewedAt = time.Time{}
	}
	s.listedAt = w.clock.Now()
	return nil
}

// renewContact renews the lease of the contact entry if that is due. If there is
// no lease or it has expired, it writes the entry with a new lease.
func (w *Watcher) renewContact(ctx context.Context, s *contactState) error {
	if s.lease != "" && w.clock.Now().Sub(s.renewedAt) < contactRenewalInterval/2 {
		return nil
	}
	if s.lease != "" {
		err := w.client.Renew(ctx, s.lease)
		var expired *LeaseExpiredError
		if !errors.As(err, &expired) {
			s.renewedAt = w.clock.Now()
			return err
		}
		s.lease = ""
	}
	s.renewedAt = w.clock.Now()
	s.writtenAt = w.clock.Now()
	return w.writeContact(ctx, &s.lease)
}

// listContacts passes the entries of the other nodes to the hook and reports
// whether the node's own entry exists.
func (w *Watcher) listContacts(ctx context.Context) (bool, error) {
	entries, err := w.client.List(ctx, ContactPrefix)
	if err != nil {
		return false, err
	}
	found := false
	contacts := make([]ContactForm, 0, len(entries))
	for _, e := range entries {
		var c ContactForm
		if json.Unmarshal(e.Value(), &c) != nil || c.Name == "" {
			continue
		}
		if c.Name == w.self.Name {
			found = true
			continue
		}
		contacts = append(contacts, c)
	}
	w.hooks.onContacts(contacts)
	return found, nil
}

// writeContact writes the contact entry with a new lease and stores the lease.
func (w *Watcher) writeContact(ctx context.Context, lease *LeaseID) error {
	id, err := w.client.Grant(ctx, contactLeaseTTL)
	if err != nil {
		return err
	}
	key := ContactPrefix + w.dataCentre + "/" + w.self.Name
	current, err := w.client.Get(ctx, key)
	if err != nil {
		return err
	}
	value, err := json.Marshal(w.self)
	if err != nil {
		return err
	}
	if _, err := w.client.CompareAndSwap(ctx, NewWrite(key, value).WithExpectedVersion(current.Version()).WithLease(id)); err != nil {
		return err
	}
	*lease = id
	return nil
}

func (w *Watcher) revokeContact(lease LeaseID) {
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = w.client.Revoke(ctx, lease)
}
