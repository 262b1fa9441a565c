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

// newestKnown returns the newest revision that is known to exist.
func (f *Follower) newestKnown() verbenastand.Revision {
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
