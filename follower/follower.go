// Package follower keeps a local copy of the configuration store. Calls to the
// store are expensive, so a few hosts, the readers, watch it and relay changes to
// the others. Each change carries its revision, and each message the time since
// the store last confirmed that the revision was current. A host that receives no
// recent confirmation reads the store itself.
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
	// outageThreshold is the time without a confirmation after which the store counts
	// as having been unavailable: registrations may have expired meanwhile.
	outageThreshold = 2500 * time.Millisecond
	// reregistrationGrace is how long after an outage servers may take to renew a
	// registration that expired during it; the operators specify two seconds.
	reregistrationGrace = 2300 * time.Millisecond
)

// Config holds the dependencies and callbacks of a Follower.
type Config struct {
	Clock verbenastand.Clock
	Store verbenastand.ConfigurationStore
	Relay verbenastand.RelayTransport
	// Membership lists the hosts of the deployment.
	Membership interface{ Hosts() []verbenastand.Host }
	Self       verbenastand.Host
	// Regions are the regions of availability zones.
	Regions verbenastand.ZoneRegions
	// RegistrationLifetime is how long the store keeps a registration that its server
	// does not renew.
	RegistrationLifetime time.Duration
	// OnView is called with each new view. Calls do not overlap.
	OnView func(*verbenastand.View)
	// OnEvent is called for changes, applied or rejected, for failed calls to the
	// store and failed relays, when this host starts or stops reading the store, and
	// at the end of an outage of the store.
	OnEvent func(Event)
}

// Event describes a change of the local copy, or of the access to the store or to
// a peer.
type Event struct {
	Name string
	// Key identifies the object in the store, if the event concerns one, or the peer
	// of a failed relay.
	Key      string
	Position verbenastand.Position
	// Staleness is the time since the last confirmation when the event occurred. At
	// the end of an outage, it is the time between the last two confirmations.
	Staleness time.Duration
	Err       error
}

// Follower keeps the local copy of the store up to date.
type Follower struct {
	config    Config
	startedAt time.Time
	view      atomic.Pointer[verbenastand.View]
	// rankCache holds the host's rank until the membership changes.
	rankCache atomic.Pointer[cachedRank]

	mu      sync.Mutex
	objects map[string]*object
	// held are the objects whose state in use is newer than the store's.
	held        map[string]*object
	evacuations evacuations
	table       *verbenastand.RouteTable
	// era is the era of all revisions below and of the objects.
	era      verbenastand.Era
	revision verbenastand.Revision
	// provisional is set while the objects come only from a list that may be of an
	// earlier era.
	provisional bool
	// routingKnown is set if the parts of a list that is not complete contain the route table
	// and all evacuations.
	routingKnown bool
	// published is set once views are published: not before enough is known.
	published bool
	// entering is set while the first batch of an era is applied.
	entering bool
	// newest is the newest position that this host or a peer has seen.
	newest verbenastand.Position
	// Of the changes after historyFrom, the newest of each object is known, except for
	// objects that were both created and removed between gapFrom and gapUntil.
	historyFrom       verbenastand.Revision
	gapFrom, gapUntil verbenastand.Revision
	confirmedAt       time.Time
	recoveredAt       time.Time
	storeCalls        int
	// generation changes with the objects. encodings are their encoded changes since the
	// positions of other hosts.
	generation uint64
	encodings  map[encodingKey]*encodedChanges

	// serviceable is closed once enough is known to serve requests and the view shows it. firstList is closed when the
	// first list has ended; nil if there is none.
	serviceable      chan struct{}
	closeServiceable sync.Once
	firstList        chan struct{}

	publishMu sync.Mutex
	// largeSends is a semaphore that bounds the large batches sent concurrently.
	largeSends chan struct{}
}

// NewFollower returns a follower with an empty view.
func NewFollower(c Config) *Follower {
	if c.OnEvent == nil {
		c.OnEvent = func(Event) {}
	}
	f := &Follower{config: c, startedAt: c.Clock.Now(), objects: make(map[string]*object), held: make(map[string]*object), evacuations: newEvacuations(), encodings: make(map[encodingKey]*encodedChanges), largeSends: make(chan struct{}, fanOut), serviceable: make(chan struct{})}
	f.view.Store(verbenastand.NewView(verbenastand.ViewConfig{}))
	return f
}

// View returns the current view.
func (f *Follower) View() *verbenastand.View { return f.view.Load() }

// HasRouteTable reports whether the view has a route table.
func (f *Follower) HasRouteTable() bool { return f.View().Table() != nil }

// Staleness returns the time since the view was last confirmed to be current.
func (f *Follower) Staleness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stalenessLocked()
}

// unknownStaleness is reported while there is no confirmation.
const unknownStaleness = 24 * time.Hour

func (f *Follower) stalenessLocked() time.Duration {
	if f.confirmedAt.IsZero() {
		return unknownStaleness
	}
	return f.config.Clock.Now().Sub(f.confirmedAt)
}

// Invalidate discards the confirmation that the view is current. It is called after
// the process was paused.
func (f *Follower) Invalidate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmedAt = time.Time{}
}

// Position returns the position up to which all changes are known.
func (f *Follower) Position() verbenastand.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.positionLocked()
}

func (f *Follower) positionLocked() verbenastand.Position {
	return verbenastand.Position{Era: f.era, Revision: f.revision}
}

// mustList reports whether the objects are to be read as a whole.
func (f *Follower) mustList() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision == 0 || f.provisional
}

// ExpireRegistrations stops using retained registrations that were not renewed in
// time, and uses those that were renewed although they seemed outdated. It ends evacuations
// that were lost by the store and not written again in time.
func (f *Follower) ExpireRegistrations(now time.Time) {
	f.mu.Lock()
	changed := f.expireEvacuationsLocked(now)
	var events []Event
	for _, o := range f.objects {
		if !o.retainedUntil.IsZero() && !now.Before(o.retainedUntil) {
			o.retainedUntil = time.Time{}
			changed = true
		}
		if renewed, event := f.renewLocked(o, now); renewed {
			changed = true
			events = append(events, event)
		}
	}
	if changed {
		f.objectsChangedLocked()
	}
	f.mu.Unlock()
	for _, e := range events {
		f.config.OnEvent(e)
	}
	if changed {
		f.publish()
	}
}

// newestKnown returns the newest position that is known to exist.
func (f *Follower) newestKnown() verbenastand.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

// noteNewest records a position that a peer knows.
func (f *Follower) noteNewest(p verbenastand.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteNewestLocked(p)
}

func (f *Follower) noteNewestLocked(p verbenastand.Position) {
	if f.newest.Before(p) {
		f.newest = p
	}
}

// publish builds a view of the current state and makes it the current view.
func (f *Follower) publish() {
	f.publishMu.Lock()
	defer f.publishMu.Unlock()
	v := f.build()
	if v == nil {
		return
	}
	f.view.Store(v)
	f.config.OnView(v)
}

// build returns the view of the current state, nil while too little is known to serve requests: a
// request must not be sent by a table without the evacuations.
func (f *Follower) build() *verbenastand.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.published = f.published || f.revision != 0 || f.servesByPartsLocked()
	if !f.published {
		return nil
	}
	servers := make(map[verbenastand.ServiceName][]verbenastand.Registration)
	evacuated := make(map[verbenastand.Zone]bool)
	for _, o := range f.objects {
		if z := o.zone(); z != "" {
			evacuated[z] = true
		}
		r := o.change.Registration
		if r == nil && !o.retainedUntil.IsZero() {
			r = o.lastRegistration
		}
		if r != nil {
			servers[r.Service()] = append(servers[r.Service()], *r)
		}
	}
	for _, list := range servers {
		slices.SortFunc(list, func(a, b verbenastand.Registration) int { return cmp.Compare(a.Server(), b.Server()) })
	}
	return verbenastand.NewView(verbenastand.ViewConfig{Revision: f.revision, Table: f.table, Servers: servers, Evacuated: evacuated})
}
