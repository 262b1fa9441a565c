// Package follower follows the configuration store. Every call to the store is
// dear, so a few hosts read it and relay what they learn to the others, each
// change with its revision and each message with the age of its proof that the
// revision was current. A host to which no fresh proof comes reads by itself.
package follower

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	// outageAge is the age of the proof from which on the store counts as having
	// been away: registrations may have lapsed meanwhile.
	outageAge = 2500 * time.Millisecond
	// lapseGrace is how long after its return a registration that lapsed while the
	// store was away may take to come back; the operators say two seconds.
	lapseGrace = 2300 * time.Millisecond
)

// Config holds the values of a Follower.
type Config struct {
	Clock verbenastand.Clock
	Store verbenastand.ConfigurationStore
	Relay verbenastand.RelayTransport
	// Membership tells which hosts there are.
	Membership interface{ Hosts() []verbenastand.Host }
	Self       verbenastand.Host
	// OnView is called with each new view, one call at a time.
	OnView func(*verbenastand.View)
	// OnEvent is called for changes of belief and for lost and regained contact.
	OnEvent func(Event)
}

// Event is something that happened to the followed state.
type Event struct {
	// What names the event.
	What string
	// Key is the object, if the event concerns one.
	Key      string
	Revision verbenastand.Revision
	// Age is the age of the proof that decided.
	Age time.Duration
	Err error
}

// object is what is known of one object of the store.
type object struct {
	change verbenastand.Change
	// last is the newest registration seen, also after its removal, and lastRevision
	// the revision that brought it.
	last         *verbenastand.Registration
	lastRevision verbenastand.Revision
	// heldUntil keeps a registration in use that may have lapsed.
	heldUntil time.Time
}

// Follower holds the followed state.
type Follower struct {
	config Config
	began  time.Time
	view   atomic.Pointer[verbenastand.View]
	// standing keeps the rank until the membership changes.
	standing atomic.Pointer[standing]

	mu       sync.Mutex
	objects  map[string]*object
	table    *verbenastand.RouteTable
	revision verbenastand.Revision
	// newest is the newest revision that this host or a peer has seen.
	newest verbenastand.Revision
	// Of the changes after knownFrom the newest of each object is known, but for
	// objects that came and went between gapFrom and gapUntil.
	knownFrom         verbenastand.Revision
	gapFrom, gapUntil verbenastand.Revision
	provedAt          time.Time
	returnedAt        time.Time
	calls             int

	publishing sync.Mutex
	// largeSends has room for the large batches that may be on their way at a time.
	largeSends chan struct{}
}

// NewFollower returns a follower that knows nothing.
func NewFollower(c Config) *Follower {
	if c.OnEvent == nil {
		c.OnEvent = func(Event) {}
	}
	f := &Follower{config: c, began: c.Clock.Now(), objects: make(map[string]*object), largeSends: make(chan struct{}, fanOut)}
	f.view.Store(verbenastand.NewView(verbenastand.ViewConfig{}))
	return f
}

// View returns what is in force.
func (f *Follower) View() *verbenastand.View { return f.view.Load() }

// Known reports whether a route table is known.
func (f *Follower) Known() bool { return f.View().Table() != nil }

// Age returns the age of the proof that the view was current.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ageLocked()
}

// unknownAge stands for the age of a proof that there never was.
const unknownAge = 24 * time.Hour

func (f *Follower) ageLocked() time.Duration {
	if f.provedAt.IsZero() {
		return unknownAge
	}
	return f.config.Clock.Now().Sub(f.provedAt)
}

// Void forgets the proof that the view is current, after this process was paused.
func (f *Follower) Void() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.provedAt = time.Time{}
}

// Revision returns the revision up to which all changes are known.
func (f *Follower) Revision() verbenastand.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// batch is a set of changes together with the proof it brings.
type batch struct {
	changes []verbenastand.Change
	// after is the revision from which on the changes are complete, zero if they
	// are all objects.
	after    verbenastand.Revision
	whole    bool
	revision verbenastand.Revision
	provedAt time.Time
	// passOn are the hosts that the receiver is to tell.
	passOn []verbenastand.HostID
}

// announcement returns the batch without its changes.
func (b batch) announcement() batch {
	return batch{after: b.revision, revision: b.revision, provedAt: b.provedAt}
}

// large reports whether sending the batch to many peers would fill a slow link.
func (b batch) large() bool {
	routes := 0
	for _, c := range b.changes {
		if c.Table != nil {
			routes += len(c.Table.Routes())
		}
	}
	return routes+len(b.changes) > largeBatch
}

// apply takes a batch over. It reports false if changes before it are missing.
func (f *Follower) apply(b batch) bool {
	f.mu.Lock()
	f.newest = max(f.newest, b.revision)
	if !b.whole && b.after > f.revision {
		f.mu.Unlock()
		return false
	}
	var events []Event
	if b.revision >= f.newest {
		// What is older than a peer's knowledge does not prove the present.
		events = f.proveLocked(b.provedAt)
	}
	changed := false
	for _, c := range b.changes {
		news, event := f.applyLocked(c)
		changed = changed || news
		if event.What != "" {
			events = append(events, event)
		}
	}
	if b.whole {
		changed = f.removeMissingLocked(b) || changed
		f.noteGapLocked(b.revision)
	}
	f.revision = max(f.revision, b.revision)
	f.mu.Unlock()
	for _, e := range events {
		f.config.OnEvent(e)
	}
	if changed {
		f.publish()
	}
	return true
}

// proveLocked notes the proof of a batch, and the return of a store that was away.
func (f *Follower) proveLocked(at time.Time) []Event {
	if !at.After(f.provedAt) {
		return nil
	}
	age := at.Sub(f.provedAt)
	first := f.provedAt.IsZero()
	f.provedAt = at
	if first || age < outageAge {
		return nil
	}
	f.returnedAt = f.config.Clock.Now()
	return []Event{{What: "storeReturned", Revision: f.revision, Age: age}}
}

// applyLocked takes one change over and reports whether it changed the view.
func (f *Follower) applyLocked(c verbenastand.Change) (bool, Event) {
	o := f.objects[c.Key]
	if o == nil {
		o = &object{}
		f.objects[c.Key] = o
	}
	if c.Revision <= o.change.Revision {
		return false, Event{}
	}
	event := Event{Key: c.Key, Revision: c.Revision, Age: f.ageLocked(), Err: c.Fault}
	if c.Table != nil || (c.Fault != nil && o.change.Table != nil) {
		return f.applyTableLocked(o, c, event)
	}
	if c.Registration != nil && o.last != nil && c.Registration.OlderThan(*o.last) {
		event.What = "registrationOutdated"
		o.change.Revision = c.Revision
		return false, event
	}
	removed := c.Registration == nil
	if removed && o.change.Registration != nil && o.change.Registration.State() == verbenastand.ServerActive {
		o.heldUntil = f.heldUntilLocked()
	}
	if !removed {
		o.last, o.lastRevision = c.Registration, c.Revision
		o.heldUntil = time.Time{}
	}
	o.change = c
	event.What = registrationEvent(c)
	return true, event
}

// heldUntilLocked returns until when a registration that vanishes now is still
// used: it may have lapsed while the store was away.
func (f *Follower) heldUntilLocked() time.Time {
	until := f.returnedAt.Add(lapseGrace)
	if f.returnedAt.IsZero() || !f.config.Clock.Now().Before(until) {
		return time.Time{}
	}
	return until
}

func registrationEvent(c verbenastand.Change) string {
	switch {
	case c.Fault != nil:
		return "registrationUnreadable"
	case c.Removed:
		return "registrationRemoved"
	case c.Registration != nil && c.Registration.State() == verbenastand.ServerDraining:
		return "serverDraining"
	}
	return "serverRegistered"
}

func (f *Follower) applyTableLocked(o *object, c verbenastand.Change, event Event) (bool, Event) {
	if c.Table == nil {
		event.What = "tableUnreadable"
		o.change.Revision = c.Revision
		return false, event
	}
	if f.table != nil && c.Table.Version() <= f.table.Version() {
		event.What = "tableOutdated"
		o.change.Revision = c.Revision
		return false, event
	}
	f.table = c.Table
	o.change = c
	event.What = "tableInForce"
	return true, event
}

// removeMissingLocked removes registrations that a list of all objects no longer
// holds.
func (f *Follower) removeMissingLocked(b batch) bool {
	listed := make(map[string]bool, len(b.changes))
	for _, c := range b.changes {
		listed[c.Key] = true
	}
	changed := false
	for key, o := range f.objects {
		if listed[key] || o.change.Registration == nil || o.change.Revision > b.revision {
			continue
		}
		news, _ := f.applyLocked(verbenastand.Change{Key: key, Revision: b.revision, Removed: true})
		changed = changed || news
	}
	return changed
}

// noteGapLocked notes that a list of all objects brought this host to a revision:
// objects that came and went on the way are not known. Hosts that are behind the
// way need not know of them, hosts on it get all objects.
func (f *Follower) noteGapLocked(until verbenastand.Revision) {
	if until <= f.revision {
		return
	}
	if f.revision == 0 {
		f.knownFrom = max(f.knownFrom, until)
		return
	}
	f.knownFrom = max(f.knownFrom, f.gapUntil)
	f.gapFrom, f.gapUntil = f.revision, until
}

// contiguousLocked reports whether all changes after a revision are known.
func (f *Follower) contiguousLocked(after verbenastand.Revision) bool {
	return after != 0 && after >= f.knownFrom && (after <= f.gapFrom || after >= f.gapUntil)
}

// since returns the newest change of each object after a revision, or all objects
// if changes between are not known.
func (f *Follower) since(after verbenastand.Revision) batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := batch{after: after, revision: f.revision, provedAt: f.provedAt}
	if !f.contiguousLocked(after) {
		b.whole, b.after = true, 0
	}
	for _, o := range f.objects {
		if o.change.Registration != nil || o.change.Table != nil {
			if b.whole || o.change.Revision > after {
				b.changes = append(b.changes, o.change)
			}
			continue
		}
		if !b.whole && o.change.Revision > after {
			b.changes = append(b.changes, o.removalLocked()...)
		}
	}
	return b
}

// removalLocked returns the changes that tell of an object that is gone: with its
// last registration, by which older ones that are written late are known.
func (o *object) removalLocked() []verbenastand.Change {
	if o.last == nil {
		return []verbenastand.Change{o.change}
	}
	return []verbenastand.Change{{Key: o.change.Key, Revision: o.lastRevision, Registration: o.last}, o.change}
}

// Tick ends the use of registrations that did not come back.
func (f *Follower) Tick(now time.Time) {
	f.mu.Lock()
	changed := false
	for _, o := range f.objects {
		if !o.heldUntil.IsZero() && !now.Before(o.heldUntil) {
			o.heldUntil = time.Time{}
			changed = true
		}
	}
	f.mu.Unlock()
	if changed {
		f.publish()
	}
}

// Newest returns the newest revision that is known to exist.
func (f *Follower) Newest() verbenastand.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

// publish puts the present state in force.
func (f *Follower) publish() {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	v := f.build()
	f.view.Store(v)
	f.config.OnView(v)
}

func (f *Follower) build() *verbenastand.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	servers := make(map[verbenastand.ServiceName][]verbenastand.Registration)
	for _, o := range f.objects {
		r := o.change.Registration
		if r == nil && !o.heldUntil.IsZero() {
			r = o.last
		}
		if r != nil {
			servers[r.Service()] = append(servers[r.Service()], *r)
		}
	}
	for _, list := range servers {
		slices.SortFunc(list, func(a, b verbenastand.Registration) int { return cmp.Compare(a.Server(), b.Server()) })
	}
	return verbenastand.NewView(verbenastand.ViewConfig{Revision: f.revision, Table: f.table, Servers: servers})
}
