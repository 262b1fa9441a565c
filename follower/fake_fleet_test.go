package follower

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// fakeStore is an in-memory configuration store.
type fakeStore struct {
	mu       sync.Mutex
	changes  []verbenastand.Change
	revision verbenastand.Revision
	era      verbenastand.Era
	// compactedUntil is the revision before which the history is discarded.
	compactedUntil verbenastand.Revision
	updated        chan struct{}
	calls          int
	// cheapCalls counts requests for the newest revision, which cost a tenth of other
	// calls.
	cheapCalls int
	// staleRevision is what cheap calls return, the newest revision if zero.
	staleRevision verbenastand.Revision
	// responseDelay is how long the changes of a watch take to arrive.
	responseDelay time.Duration
	// newestDelay is how long cheap calls take.
	newestDelay time.Duration
	// stalledCalls is the number of the last call whose watch stalls; later ones work.
	stalledCalls int
	down         map[verbenastand.HostID]bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{revision: 1, updated: make(chan struct{}), down: make(map[verbenastand.HostID]bool)}
}

// callCount returns the number of calls so far.
func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) write(change func(revision verbenastand.Revision) verbenastand.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changes = append(s.changes, change(s.revision))
	close(s.updated)
	s.updated = make(chan struct{})
}

// restore makes the store return from a copy of an earlier revision: later changes are
// lost, and their revisions are given out again.
func (s *fakeStore) restore(revision verbenastand.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.changes[:0:0]
	for _, c := range s.changes {
		if c.Revision <= revision {
			kept = append(kept, c)
		}
	}
	s.changes, s.revision = kept, revision
	s.era++
	close(s.updated)
	s.updated = make(chan struct{})
}

func (s *fakeStore) positionLocked() verbenastand.Position {
	return verbenastand.Position{Era: s.era, Revision: s.revision}
}

// newestRevision returns the revision of the last change.
func (s *fakeStore) newestRevision() verbenastand.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// storeClient is the store as one host reaches it.
type storeClient struct {
	store *fakeStore
	host  verbenastand.HostID
}

func (sc storeClient) List(context.Context, bool, func(verbenastand.Part)) (verbenastand.Snapshot, error) {
	s := sc.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down[sc.host] {
		return verbenastand.Snapshot{}, verbenastand.ErrStoreBusy
	}
	latest := make(map[string]verbenastand.Change)
	for _, c := range s.changes {
		latest[c.Key] = c
	}
	snapshot := verbenastand.Snapshot{Position: s.positionLocked()}
	for _, key := range slices.Sorted(maps.Keys(latest)) {
		if c := latest[key]; !c.Removed {
			snapshot.Changes = append(snapshot.Changes, c)
		}
	}
	return snapshot, nil
}

func (sc storeClient) NewestPosition(ctx context.Context) (verbenastand.Position, error) {
	s := sc.store
	s.mu.Lock()
	delay := s.newestDelay
	s.mu.Unlock()
	sleep(ctx, delay)
	if ctx.Err() != nil {
		return verbenastand.Position{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cheapCalls++
	if s.down[sc.host] {
		return verbenastand.Position{}, verbenastand.ErrStoreBusy
	}
	if s.staleRevision != 0 {
		return verbenastand.Position{Era: s.era, Revision: s.staleRevision}, nil
	}
	return s.positionLocked(), nil
}

func (sc storeClient) Watch(ctx context.Context, after verbenastand.Revision, wait time.Duration) ([]verbenastand.Change, verbenastand.Position, error) {
	s := sc.store
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	s.calls++
	call := s.calls
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.down[sc.host] {
			s.mu.Unlock()
			return nil, verbenastand.Position{}, verbenastand.ErrStoreBusy
		}
		stalled := call <= s.stalledCalls
		if (after < s.compactedUntil || after > s.revision) && !stalled {
			s.mu.Unlock()
			return nil, verbenastand.Position{}, verbenastand.ErrHistoryGone
		}
		var changes []verbenastand.Change
		for _, c := range s.changes {
			if c.Revision > after {
				changes = append(changes, c)
			}
		}
		position, updated := s.positionLocked(), s.updated
		s.mu.Unlock()
		if stalled {
			<-ctx.Done()
			return nil, verbenastand.Position{}, ctx.Err()
		}
		if len(changes) > 0 {
			time.Sleep(s.responseDelay)
			return changes, position, nil
		}
		select {
		case <-updated:
		case <-timer.C:
			return nil, position, nil
		case <-ctx.Done():
			return nil, verbenastand.Position{}, ctx.Err()
		}
	}
}

// fleet is a set of followers that are connected in memory.
type fleet struct {
	store       *fakeStore
	hosts       []verbenastand.Host
	followers   map[verbenastand.HostID]*Follower
	mu          sync.Mutex
	partitioned map[verbenastand.HostID]bool
	// unresponsive hosts neither send nor answer messages.
	unresponsive map[verbenastand.HostID]bool
	// forgetful hosts know no other hosts, as after a long partition.
	forgetful sync.Map
	// handlingTime is how long a host takes to handle a message.
	handlingTime map[verbenastand.HostID]time.Duration
	// ctx ends with the test, and each of stops ends the process of a host.
	ctx   context.Context
	stops map[verbenastand.HostID]context.CancelFunc
	// crossZone counts messages between availability zones.
	crossZone int
	// linkBytesPerSecond bounds the send rate of each host; zero means unbounded.
	linkBytesPerSecond int
	linkFree           map[verbenastand.HostID]time.Time
}

// Hosts implements the membership of every follower.
func (f *fleet) Hosts() []verbenastand.Host { return f.hosts }

// fleetMembership is the membership as one host knows it.
type fleetMembership struct {
	fleet *fleet
	self  verbenastand.Host
}

func (m fleetMembership) Hosts() []verbenastand.Host {
	if _, forgetful := m.fleet.forgetful.Load(m.self.ID()); forgetful {
		return []verbenastand.Host{m.self}
	}
	return m.fleet.hosts
}

// delayedMembership holds only one host until the others are discovered.
type delayedMembership struct {
	fleet        *fleet
	self         []verbenastand.Host
	discoveredAt time.Time
}

func (m delayedMembership) Hosts() []verbenastand.Host {
	if time.Now().Before(m.discoveredAt) {
		return m.self
	}
	return m.fleet.hosts
}

type fakeRelay struct {
	fleet *fleet
	from  verbenastand.HostID
}

func (f *fleet) zoneOf(id verbenastand.HostID) verbenastand.Zone {
	for _, h := range f.hosts {
		if h.ID() == id {
			return h.Zone()
		}
	}
	return ""
}

// transmit delays a message according to the rate of the sender's link.
func (f *fleet) transmit(ctx context.Context, from verbenastand.HostID, size int) error {
	f.mu.Lock()
	if f.linkBytesPerSecond == 0 {
		f.mu.Unlock()
		return nil
	}
	free := f.linkFree[from]
	if now := time.Now(); free.Before(now) {
		free = now
	}
	free = free.Add(time.Duration(size) * time.Second / time.Duration(f.linkBytesPerSecond))
	f.linkFree[from] = free
	f.mu.Unlock()
	wait := time.Until(free)
	if wait <= 0 {
		return nil
	}
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r fakeRelay) Relay(ctx context.Context, peer verbenastand.Host, message []byte) ([]byte, error) {
	r.fleet.mu.Lock()
	partitioned := r.fleet.partitioned[r.from] || r.fleet.partitioned[peer.ID()]
	unresponsive := r.fleet.unresponsive[r.from] || r.fleet.unresponsive[peer.ID()]
	handlingTime := r.fleet.handlingTime[peer.ID()]
	if r.fleet.zoneOf(r.from) != peer.Zone() {
		r.fleet.crossZone++
	}
	r.fleet.mu.Unlock()
	if partitioned {
		return nil, errors.New("partitioned")
	}
	if unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := r.fleet.transmit(ctx, r.from, len(message)); err != nil {
		return nil, err
	}
	time.Sleep(2*time.Millisecond + handlingTime)
	return r.fleet.follower(peer.ID()).HandleMessage(message)
}

func newFleet(size int) *fleet {
	f := &fleet{store: newFakeStore(), followers: make(map[verbenastand.HostID]*Follower), partitioned: make(map[verbenastand.HostID]bool), linkFree: make(map[verbenastand.HostID]time.Time), unresponsive: make(map[verbenastand.HostID]bool), handlingTime: make(map[verbenastand.HostID]time.Duration), stops: make(map[verbenastand.HostID]context.CancelFunc)}
	for i := range size {
		id := verbenastand.HostID(fmt.Sprintf("h%d", i))
		zone := verbenastand.Zone(fmt.Sprintf("z%d", i%3))
		f.hosts = append(f.hosts, verbenastand.NewHost(verbenastand.HostConfig{Instance: verbenastand.NewInstance(id, 1), Zone: zone}))
	}
	for _, h := range f.hosts {
		f.followers[h.ID()] = f.newFollower(h)
	}
	return f
}

func (f *fleet) newFollower(h verbenastand.Host) *Follower {
	return NewFollower(Config{
		Clock: wallClock{}, Store: storeClient{f.store, h.ID()}, Relay: fakeRelay{f, h.ID()},
		Membership: fleetMembership{f, h}, Self: h, OnView: func(*verbenastand.View) {}, RegistrationLifetime: 4500 * time.Millisecond,
	})
}

func (f *fleet) follower(id verbenastand.HostID) *Follower {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.followers[id]
}

// restart replaces the process of a host. The new one asks the given peers at its start.
func (f *fleet) restart(id verbenastand.HostID, peers []verbenastand.Host) {
	f.stops[id]()
	for _, h := range f.hosts {
		if h.ID() == id {
			f.mu.Lock()
			f.followers[id] = f.newFollower(h)
			f.mu.Unlock()
			f.start(h, peers)
		}
	}
}

func (f *fleet) start(h verbenastand.Host, peers []verbenastand.Host) {
	ctx, cancel := context.WithCancel(f.ctx)
	f.stops[h.ID()] = cancel
	member := f.follower(h.ID())
	go func() {
		member.Bootstrap(ctx, peers)
		member.Run(ctx)
	}()
}

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

func (f *fleet) run(ctx context.Context) {
	f.ctx = ctx
	for _, h := range f.hosts {
		f.start(h, f.hosts[:min(2, len(f.hosts))])
	}
}

func (f *fleet) readers() (ids []verbenastand.HostID) {
	for _, h := range f.hosts {
		if f.followers[h.ID()].rank() < 0 {
			ids = append(ids, h.ID())
		}
	}
	return ids
}

func (f *fleet) hostOfRank(rank int) verbenastand.HostID {
	for _, h := range f.hosts {
		if f.followers[h.ID()].rank() == rank {
			return h.ID()
		}
	}
	return ""
}

// forwardingHosts returns the hosts to which a reader of the given index sends batches for
// other availability zones.
func (f *fleet) forwardingHosts(readerIndex int) (ids []verbenastand.HostID) {
	reader := f.followers[f.hostOfRank(readerIndex-readers)]
	for zone, members := range reader.byZone(f.hosts) {
		if zone != reader.config.Self.Zone() {
			ids = append(ids, members[0].ID())
		}
	}
	return ids
}

// stopFleet stops the followers of a test and waits until their messages have
// arrived.
func stopFleet(cancel context.CancelFunc) {
	cancel()
	time.Sleep(time.Minute)
}

// hostsWithServer returns the number of hosts whose view contains the server.
func (f *fleet) hostsWithServer(id string) (n int) {
	for _, member := range f.followers {
		if _, ok := states(member)[id]; ok {
			n++
		}
	}
	return n
}

// runInFleet runs a test on followers that have followed a store with one table for
// ten seconds.
func runInFleet(t *testing.T, size int, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer stopFleet(cancel)
		f := newFleet(size)
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return table(r, 1) })
		f.run(ctx)
		time.Sleep(10 * time.Second)
		test(f)
	})
}
