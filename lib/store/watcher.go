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
	// ConfigurationKey holds the document.
	ConfigurationKey = "savorygap/configuration"
	// ContactPrefix precedes the keys of the contact entries.
	ContactPrefix = "savorygap/contacts/"

	watchWait      = 30 * time.Second
	callTimeout    = 5 * time.Second
	contactTTL     = 60 * time.Second
	contactRenewal = 20 * time.Second
	idlePoll       = 5 * time.Minute
	backoffFirst   = 500 * time.Millisecond
	backoffMost    = 30 * time.Second
	jitterShare    = 0.5
	// meetingTime is how long a node that began to keep an entry lists the
	// others at short intervals, so that groups that formed apart meet.
	meetingTime     = 30 * time.Second
	meetingInterval = 2 * time.Second
	aloneFirst      = time.Second
	aloneMost       = 20 * time.Second
)

// ContactForm is the written form of a contact entry.
type ContactForm struct {
	Name    string `json:"name"`
	Control string `json:"control"`
}

// WatcherHooks tell the rest of the node what the store holds.
type WatcherHooks struct {
	document func(*document.Document)
	contacts func([]ContactForm)
	fault    func(call string, err error)
}

// NewWatcherHooks returns hooks: document is told every document read,
// contacts the contact entries, fault every failed call.
func NewWatcherHooks(doc func(*document.Document), contacts func([]ContactForm), fault func(string, error)) WatcherHooks {
	return WatcherHooks{document: doc, contacts: contacts, fault: fault}
}

// Watcher is the pair of tasks that read the configuration from the store and
// keep this node's contact entry there, as far as that is its duty.
type Watcher struct {
	client  *Client
	clock   clockwork.Clock
	rng     *rand.Rand
	jitter  time.Duration
	self    ContactForm
	place   string
	hooks   WatcherHooks
	watch   *task.Latest[bool]
	contact *task.Latest[contactDuty]
}

// NewWatcher returns a follower for the node self in a data centre.
func NewWatcher(client *Client, clock clockwork.Clock, rng *rand.Rand, self ContactForm, dataCentre string, hooks WatcherHooks) *Watcher {
	return &Watcher{
		client: client, clock: clock, rng: rng, self: self, place: dataCentre, hooks: hooks,
		watch: task.NewLatest[bool](), contact: task.NewLatest[contactDuty](),
	}
}

// contactDuty says what a node does about contact entries.
type contactDuty struct {
	keep  bool
	alone bool
}

// WithStartJitter returns the follower with its first calls delayed by a random
// part of d, so that many nodes that start together do not call at once.
func (f *Watcher) WithStartJitter(d time.Duration) *Watcher {
	f.jitter = d
	return f
}

// SetDuty states whether this node watches the configuration, whether it keeps
// a contact entry, and whether it has no peer and so looks for contacts. It has
// one caller at a time.
func (f *Watcher) SetDuty(watch, contact, alone bool) {
	f.watch.Put(watch)
	f.contact.Put(contactDuty{keep: contact, alone: alone})
}

// Run follows the store until ctx ends.
func (f *Watcher) Run(ctx context.Context) {
	if f.jitter > 0 {
		select {
		case <-ctx.Done():
			return
		case <-f.clock.After(time.Duration(f.rng.Int64N(int64(f.jitter)))):
		}
	}
	done := make(chan struct{})
	forContact := rand.New(rand.NewPCG(f.rng.Uint64(), 1))
	forConfiguration := rand.New(rand.NewPCG(f.rng.Uint64(), 2))
	go func() {
		defer close(done)
		f.keepContact(ctx, forContact)
	}()
	f.followConfiguration(ctx, forConfiguration)
	<-done
}

// followConfiguration reads the document once, then watches it while that is
// this node's duty, and otherwise reads it now and then.
func (f *Watcher) followConfiguration(ctx context.Context, rng *rand.Rand) {
	after, failures, duty, read := Version(0), 0, false, false
	for ctx.Err() == nil {
		select {
		case duty = <-f.watch.Values():
		default:
		}
		entry, err := f.readConfiguration(ctx, duty && read, after)
		if err != nil {
			f.hooks.fault("configuration", err)
			failures++
			f.pause(ctx, backoff(rng, failures), &duty)
			continue
		}
		failures, read = 0, true
		if entry.Version() > after || entry.Version() == 0 {
			after = entry.Version()
			f.deliver(entry)
		}
		if !duty {
			f.pause(ctx, jittered(rng, idlePoll), &duty)
		}
	}
}

func (f *Watcher) readConfiguration(ctx context.Context, watch bool, after Version) (Entry, error) {
	if watch {
		ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
		defer cancel()
		return f.client.Watch(ctx, ConfigurationKey, after, watchWait)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f.client.Get(ctx, ConfigurationKey)
}

func (f *Watcher) deliver(e Entry) {
	if len(e.Value()) == 0 {
		f.hooks.document(document.Empty())
		return
	}
	d, err := wire.DecodeDocument(e.Value())
	if err != nil {
		f.hooks.fault("configuration", err)
		return
	}
	f.hooks.document(d)
}

// pause waits, but no longer than until the duty changes.
func (f *Watcher) pause(ctx context.Context, d time.Duration, duty *bool) {
	select {
	case <-ctx.Done():
	case <-f.clock.After(d):
	case *duty = <-f.watch.Values():
	}
}

func backoff(rng *rand.Rand, failures int) time.Duration {
	return jittered(rng, min(backoffFirst<<min(failures, 8), backoffMost))
}

// jittered spreads a delay evenly around d, so that nodes do not act at once.
func jittered(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterShare/2 + jitterShare*rng.Float64()))
}

// contactState is the state of the task that keeps the contact entry.
type contactState struct {
	duty     contactDuty
	lease    LeaseID
	listed   time.Time
	kept     time.Time
	renewed  time.Time
	lonely   int
	failures int
}

// keepContact lists the contacts, and keeps an entry under a lease while that
// is this node's duty. A node without peers lists more often.
func (f *Watcher) keepContact(ctx context.Context, rng *rand.Rand) {
	s := &contactState{duty: contactDuty{alone: true}}
	for ctx.Err() == nil {
		select {
		case s.duty = <-f.contact.Values():
		default:
		}
		wait := f.contactOnce(ctx, rng, s)
		select {
		case <-ctx.Done():
		case <-f.clock.After(wait):
		case s.duty = <-f.contact.Values():
		}
	}
	f.dropContact(s.lease)
}

// contactOnce does what is due and returns how long to wait.
func (f *Watcher) contactOnce(ctx context.Context, rng *rand.Rand, s *contactState) time.Duration {
	if err := f.contactCalls(ctx, s); err != nil {
		s.failures++
		f.hooks.fault("contact", err)
		return backoff(rng, s.failures)
	}
	s.failures = 0
	if s.duty.alone {
		s.lonely++
		return jittered(rng, min(aloneFirst<<min(s.lonely, 8), aloneMost))
	}
	s.lonely = 0
	if s.duty.keep && f.clock.Now().Sub(s.kept) < meetingTime {
		return jittered(rng, meetingInterval)
	}
	return jittered(rng, contactRenewal)
}

func (f *Watcher) contactCalls(ctx context.Context, s *contactState) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if s.duty.keep {
		if err := f.holdEntry(ctx, s); err != nil {
			return err
		}
	}
	if !s.duty.keep && !s.duty.alone && !s.listed.IsZero() {
		return nil
	}
	listed, err := f.listContacts(ctx)
	if err != nil {
		return err
	}
	if !listed {
		s.renewed = time.Time{}
	}
	s.listed = f.clock.Now()
	return nil
}

// holdEntry renews the lease of the contact entry, or writes the entry anew
// when the lease lapsed.
func (f *Watcher) holdEntry(ctx context.Context, s *contactState) error {
	if s.lease != "" && f.clock.Now().Sub(s.renewed) < contactRenewal/2 {
		return nil
	}
	if s.lease != "" {
		err := f.client.Renew(ctx, s.lease)
		var lapsed *LeaseExpiredError
		if !errors.As(err, &lapsed) {
			s.renewed = f.clock.Now()
			return err
		}
		s.lease = ""
	}
	s.renewed = f.clock.Now()
	s.kept = f.clock.Now()
	return f.writeContact(ctx, &s.lease)
}

// listContacts passes the other nodes' entries on and reports whether this
// node's own entry is among them.
func (f *Watcher) listContacts(ctx context.Context) (bool, error) {
	entries, err := f.client.List(ctx, ContactPrefix)
	if err != nil {
		return false, err
	}
	listed := false
	contacts := make([]ContactForm, 0, len(entries))
	for _, e := range entries {
		var c ContactForm
		if json.Unmarshal(e.Value(), &c) != nil || c.Name == "" {
			continue
		}
		if c.Name == f.self.Name {
			listed = true
			continue
		}
		contacts = append(contacts, c)
	}
	f.hooks.contacts(contacts)
	return listed, nil
}

func (f *Watcher) writeContact(ctx context.Context, lease *LeaseID) error {
	id, err := f.client.Grant(ctx, contactTTL)
	if err != nil {
		return err
	}
	key := ContactPrefix + f.place + "/" + f.self.Name
	current, err := f.client.Get(ctx, key)
	if err != nil {
		return err
	}
	value, err := json.Marshal(f.self)
	if err != nil {
		return err
	}
	if _, err := f.client.CompareAndSwap(ctx, NewWrite(key, value).WithExpectedVersion(current.Version()).WithLease(id)); err != nil {
		return err
	}
	*lease = id
	return nil
}

func (f *Watcher) dropContact(lease LeaseID) {
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = f.client.Revoke(ctx, lease)
}
