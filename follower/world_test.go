package follower

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// testStore is a configuration store in memory.
type testStore struct {
	mu       sync.Mutex
	changes  []verbenastand.Change
	revision verbenastand.Revision
	history  verbenastand.Revision
	news     chan struct{}
	calls    int
	// cheapCalls cost a tenth of the others.
	cheapCalls int
	// staleRevision is what cheap calls show, the newest if zero.
	staleRevision verbenastand.Revision
	// answerDelay is how long the changes of a watch take to arrive.
	answerDelay time.Duration
	// newestDelay is how long cheap calls take.
	newestDelay time.Duration
	// deafCalls is the number of calls of which the watches hear nothing any more.
	deafCalls int
	down      map[verbenastand.HostID]bool
}

func newTestStore() *testStore {
	return &testStore{revision: 1, news: make(chan struct{}), down: make(map[verbenastand.HostID]bool)}
}

// called returns the number of calls so far.
func (s *testStore) called() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *testStore) write(change func(revision verbenastand.Revision) verbenastand.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changes = append(s.changes, change(s.revision))
	close(s.news)
	s.news = make(chan struct{})
}

// view is the store as one host reaches it.
type view struct {
	store *testStore
	host  verbenastand.HostID
}

func (v view) List(context.Context, bool) (verbenastand.Snapshot, error) {
	s := v.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down[v.host] {
		return verbenastand.Snapshot{}, verbenastand.ErrStoreBusy
	}
	latest := make(map[string]verbenastand.Change)
	for _, c := range s.changes {
		latest[c.Key] = c
	}
	snapshot := verbenastand.Snapshot{Revision: s.revision}
	for _, c := range latest {
		if !c.Removed {
			snapshot.Changes = append(snapshot.Changes, c)
		}
	}
	return snapshot, nil
}

func (v view) Newest(ctx context.Context) (verbenastand.Revision, error) {
	s := v.store
	s.mu.Lock()
	delay := s.newestDelay
	s.mu.Unlock()
	pause(ctx, delay)
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cheapCalls++
	if s.down[v.host] {
		return 0, verbenastand.ErrStoreBusy
	}
	if s.staleRevision != 0 {
		return s.staleRevision, nil
	}
	return s.revision, nil
}

func (v view) Watch(ctx context.Context, after verbenastand.Revision, wait time.Duration) ([]verbenastand.Change, verbenastand.Revision, error) {
	s := v.store
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	s.calls++
	call := s.calls
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.down[v.host] {
			s.mu.Unlock()
			return nil, 0, verbenastand.ErrStoreBusy
		}
		deaf := call <= s.deafCalls
		if after < s.history && !deaf {
			s.mu.Unlock()
			return nil, 0, verbenastand.ErrHistoryGone
		}
		var changes []verbenastand.Change
		for _, c := range s.changes {
			if c.Revision > after {
				changes = append(changes, c)
			}
		}
		revision, news := s.revision, s.news
		s.mu.Unlock()
		if deaf {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		if len(changes) > 0 {
			time.Sleep(s.answerDelay)
			return changes, revision, nil
		}
		select {
		case <-news:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// fleet is a set of followers that reach each other in memory.
type fleet struct {
	store     *testStore
	hosts     []verbenastand.Host
	followers map[verbenastand.HostID]*Follower
	mu        sync.Mutex
	cut       map[verbenastand.HostID]bool
	// between counts messages between availability zones.
	between int
	// linkBytesPerSecond bounds what a host sends, without a bound if zero.
	linkBytesPerSecond int
	linkFree           map[verbenastand.HostID]time.Time
}

// Hosts implements the membership of every follower.
func (f *fleet) Hosts() []verbenastand.Host { return f.hosts }

// lateMembership knows only one host until the others are known.
type lateMembership struct {
	fleet   *fleet
	alone   []verbenastand.Host
	knownAt time.Time
}

func (m lateMembership) Hosts() []verbenastand.Host {
	if time.Now().Before(m.knownAt) {
		return m.alone
	}
	return m.fleet.hosts
}

type relayFrom struct {
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

// carry holds a message up as the sender's link does.
func (f *fleet) carry(ctx context.Context, from verbenastand.HostID, size int) error {
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
	select {
	case <-time.After(time.Until(free)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r relayFrom) Relay(ctx context.Context, peer verbenastand.Host, message []byte) ([]byte, error) {
	r.fleet.mu.Lock()
	cut := r.fleet.cut[r.from] || r.fleet.cut[peer.ID()]
	if r.fleet.zoneOf(r.from) != peer.Zone() {
		r.fleet.between++
	}
	r.fleet.mu.Unlock()
	if cut {
		return nil, errors.New("cut")
	}
	if err := r.fleet.carry(ctx, r.from, len(message)); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Millisecond)
	return r.fleet.followers[peer.ID()].Answer(message)
}

func newFleet(size int) *fleet {
	f := &fleet{store: newTestStore(), followers: make(map[verbenastand.HostID]*Follower), cut: make(map[verbenastand.HostID]bool), linkFree: make(map[verbenastand.HostID]time.Time)}
	for i := range size {
		id := verbenastand.HostID(fmt.Sprintf("h%d", i))
		zone := verbenastand.Zone(fmt.Sprintf("z%d", i%3))
		f.hosts = append(f.hosts, verbenastand.NewHost(verbenastand.HostConfig{Instance: verbenastand.NewInstance(id, 1), Zone: zone}))
	}
	for _, h := range f.hosts {
		f.followers[h.ID()] = NewFollower(Config{
			Clock: wallClock{}, Store: view{f.store, h.ID()}, Relay: relayFrom{f, h.ID()},
			Membership: f, Self: h, OnView: func(*verbenastand.View) {},
		})
	}
	return f
}

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

func (f *fleet) run(ctx context.Context) {
	for _, h := range f.hosts {
		go func() {
			f.followers[h.ID()].Bootstrap(ctx, f.hosts[:min(2, len(f.hosts))])
			f.followers[h.ID()].Run(ctx)
		}()
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

// settle ends the followers of a test and lets their messages arrive.
func settle(cancel context.CancelFunc) {
	cancel()
	time.Sleep(time.Minute)
}

// inForce returns the number of hosts that hold a server.
func (f *fleet) inForce(id string) (n int) {
	for _, x := range f.followers {
		if _, ok := states(x)[id]; ok {
			n++
		}
	}
	return n
}

// inFleet runs a test of a fleet that has followed a store with one table for ten
// seconds.
func inFleet(t *testing.T, size int, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer settle(cancel)
		f := newFleet(size)
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return table(r, 1) })
		f.run(ctx)
		time.Sleep(10 * time.Second)
		test(f)
	})
}
