package follower

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

func registered(id string, revision verbenastand.Revision, change func(*verbenastand.RegistrationConfig)) verbenastand.Change {
	c := verbenastand.RegistrationConfig{
		Server: verbenastand.ServerID(id), Service: "s", Zone: "z", Address: "10.0.0.1:80", Slots: 6, Born: 1, Sequence: uint64(revision),
	}
	if change != nil {
		change(&c)
	}
	r := verbenastand.NewRegistration(c)
	return verbenastand.Change{Key: "servers/" + id, Revision: revision, Registration: &r}
}

func removed(id string, revision verbenastand.Revision) verbenastand.Change {
	return verbenastand.Change{Key: "servers/" + id, Revision: revision, Removed: true}
}

func table(revision verbenastand.Revision, version verbenastand.TableVersion) verbenastand.Change {
	t := verbenastand.NewRouteTable(verbenastand.RouteTableConfig{Version: version, Routes: []verbenastand.Route{
		verbenastand.NewRoute(verbenastand.RouteConfig{
			Name: "r", HostName: "h", PathPrefix: "/", Timeout: time.Second, MaxAttempts: 2,
			Parts: []verbenastand.Weighted{verbenastand.NewWeighted("s", 1)},
		}),
	}, Services: map[verbenastand.ServiceName]verbenastand.ServiceSettings{"s": {HealthPath: "/health", MaxConnections: 9}}})
	return verbenastand.Change{Key: "config", Revision: revision, Table: t}
}

// newFollower returns a follower that talks to nobody.
func newFollower(clock verbenastand.Clock) *Follower {
	return NewFollower(Config{Clock: clock, OnView: func(*verbenastand.View) {}})
}

func states(f *Follower) map[string]verbenastand.ServerState {
	list := make(map[string]verbenastand.ServerState)
	for _, r := range f.View().Servers("s") {
		list[string(r.Server())] = r.State()
	}
	return list
}

func TestChanges(t *testing.T) {
	draining := func(c *verbenastand.RegistrationConfig) { c.State = verbenastand.ServerDraining }
	cases := []struct {
		name    string
		changes []verbenastand.Change
		want    map[string]verbenastand.ServerState
		version verbenastand.TableVersion
	}{
		{"a server registers and leaves", []verbenastand.Change{registered("a", 2, nil), registered("b", 3, nil), removed("a", 4)},
			map[string]verbenastand.ServerState{"b": verbenastand.ServerActive}, 0},
		{"a server drains", []verbenastand.Change{registered("a", 2, nil), registered("a", 3, draining)},
			map[string]verbenastand.ServerState{"a": verbenastand.ServerDraining}, 0},
		{"an older change comes late", []verbenastand.Change{registered("a", 3, draining), registered("a", 2, nil)},
			map[string]verbenastand.ServerState{"a": verbenastand.ServerDraining}, 0},
		{"an outdated message is written late", []verbenastand.Change{
			registered("a", 3, draining), registered("a", 4, func(c *verbenastand.RegistrationConfig) { c.Sequence = 1 })},
			map[string]verbenastand.ServerState{"a": verbenastand.ServerDraining}, 0},
		{"an outdated message is written after the server left", []verbenastand.Change{
			registered("a", 3, nil), removed("a", 4), registered("a", 5, func(c *verbenastand.RegistrationConfig) { c.Sequence = 1 })},
			map[string]verbenastand.ServerState{}, 0},
		{"a server starts again under its name", []verbenastand.Change{
			registered("a", 3, draining), registered("a", 4, func(c *verbenastand.RegistrationConfig) { c.Born, c.Sequence = 2, 0 })},
			map[string]verbenastand.ServerState{"a": verbenastand.ServerActive}, 0},
		{"the process before speaks again", []verbenastand.Change{
			registered("a", 3, func(c *verbenastand.RegistrationConfig) { c.Born = 2 }), registered("a", 4, draining)},
			map[string]verbenastand.ServerState{"a": verbenastand.ServerActive}, 0},
		{"an entry becomes unreadable", []verbenastand.Change{
			registered("a", 3, nil), registered("b", 4, nil), {Key: "servers/a", Revision: 5, Fault: errors.New("no")}},
			map[string]verbenastand.ServerState{"b": verbenastand.ServerActive}, 0},
		{"a newer table", []verbenastand.Change{table(2, 5), table(3, 9)}, map[string]verbenastand.ServerState{}, 9},
		{"a table with an older version", []verbenastand.Change{table(2, 9), table(3, 5)}, map[string]verbenastand.ServerState{}, 9},
		{"an unreadable table", []verbenastand.Change{table(2, 9), {Key: "config", Revision: 3, Fault: errors.New("no")}},
			map[string]verbenastand.ServerState{}, 9},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFollower(fake.NewClock())
			for _, c := range tc.changes {
				require.True(t, f.apply(batch{changes: []verbenastand.Change{c}, revision: c.Revision}))
			}
			require.Equal(t, tc.want, states(f))
			var version verbenastand.TableVersion
			if f.View().Table() != nil {
				version = f.View().Table().Version()
			}
			require.Equal(t, tc.version, version)
		})
	}
}

// TestOrderOfArrivalDoesNotMatter: hosts that heard the same changes of the store,
// in any order and any number of times, hold the same view.
func TestOrderOfArrivalDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var changes []verbenastand.Change
		for revision := range verbenastand.Revision(rapid.IntRange(1, 20).Draw(t, "changes")) {
			id := string(rune('a' + rapid.IntRange(0, 3).Draw(t, "server")))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				changes = append(changes, removed(id, revision+1))
			case 1:
				changes = append(changes, table(revision+1, verbenastand.TableVersion(revision+1)))
			default:
				changes = append(changes, registered(id, revision+1, nil))
			}
		}
		apply := func(order []int) *Follower {
			f := newFollower(fake.NewClock())
			for _, i := range order {
				f.apply(batch{changes: changes[i : i+1], revision: verbenastand.Revision(len(changes))})
			}
			return f
		}
		inOrder := make([]int, len(changes))
		for i := range inOrder {
			inOrder[i] = i
		}
		seed := rapid.Uint64().Draw(t, "seed")
		shuffled := append(inOrder[:len(inOrder):len(inOrder)], inOrder...)
		rand.New(rand.NewPCG(seed, 0)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		a, b := apply(inOrder), apply(shuffled)
		if fmt.Sprint(states(a)) != fmt.Sprint(states(b)) {
			t.Fatalf("%v and %v", states(a), states(b))
		}
		if a.Known() != b.Known() || (a.Known() && a.View().Table().Version() != b.View().Table().Version()) {
			t.Fatal("the tables differ")
		}
	})
}

// TestWhatAHostPassesOnIsComplete: a host that learnt by lists and by changes brings a
// peer that stands at any revision to its own state.
func TestWhatAHostPassesOnIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var changes []verbenastand.Change
		for i := range rapid.IntRange(1, 25).Draw(t, "changes") {
			id := string(rune('a' + rapid.IntRange(0, 3).Draw(t, "server")))
			revision := verbenastand.Revision(i + 1)
			if rapid.Bool().Draw(t, "removed") {
				changes = append(changes, removed(id, revision))
				continue
			}
			changes = append(changes, registered(id, revision, nil))
		}
		follow := func(f *Follower, until int) {
			after := f.Revision()
			f.apply(batch{changes: changes[after:until], after: after, revision: verbenastand.Revision(until)})
		}
		list := func(f *Follower, until int) {
			latest := make(map[string]verbenastand.Change)
			for _, c := range changes[:until] {
				latest[c.Key] = c
			}
			b := batch{whole: true, revision: verbenastand.Revision(until)}
			for _, c := range latest {
				if !c.Removed {
					b.changes = append(b.changes, c)
				}
			}
			f.apply(b)
		}
		teller, peer := newFollower(fake.NewClock()), newFollower(fake.NewClock())
		listed := false
		for range rapid.IntRange(1, 5).Draw(t, "steps") {
			until := rapid.IntRange(int(teller.Revision()), len(changes)).Draw(t, "until")
			if rapid.Bool().Draw(t, "list") {
				list(teller, until)
				listed = true
				continue
			}
			follow(teller, until)
		}
		follow(peer, rapid.IntRange(0, int(teller.Revision())).Draw(t, "peer"))
		fresh := peer.Revision() == 0
		peer.apply(teller.since(peer.Revision()))
		if peer.Revision() != teller.Revision() || fmt.Sprint(states(peer)) != fmt.Sprint(states(teller)) {
			t.Fatalf("%d: %v, want %d: %v", peer.Revision(), states(peer), teller.Revision(), states(teller))
		}
		if listed || fresh {
			// Objects that are gone are not known from a list of all.
			return
		}
		late := registered("a", teller.Revision()+1, func(c *verbenastand.RegistrationConfig) {
			c.Sequence = rapid.Uint64Range(1, 30).Draw(t, "sequence of a late registration")
		})
		teller.apply(batch{changes: []verbenastand.Change{late}, revision: late.Revision})
		peer.apply(batch{changes: []verbenastand.Change{late}, revision: late.Revision})
		if fmt.Sprint(states(peer)) != fmt.Sprint(states(teller)) {
			t.Fatalf("after a late registration %v, want %v", states(peer), states(teller))
		}
	})
}

// TestOnlyTheNewestOfAnObjectIsKept answers the pattern of a storm of large tables.
func TestOnlyTheNewestOfAnObjectIsKept(t *testing.T) {
	f := newFollower(fake.NewClock())
	f.apply(batch{changes: []verbenastand.Change{registered("a", 1, nil)}, revision: 1})
	for revision := verbenastand.Revision(2); revision <= 40; revision++ {
		f.apply(batch{changes: []verbenastand.Change{table(revision, verbenastand.TableVersion(revision))}, after: revision - 1, revision: revision})
	}
	b := f.since(1)
	require.Len(t, b.changes, 1)
	require.EqualValues(t, 40, b.changes[0].Table.Version())
}

func TestAnOldRevisionDoesNotProveThePresent(t *testing.T) {
	clock := fake.NewClock()
	f := newFollower(clock)
	f.apply(batch{changes: []verbenastand.Change{registered("a", 2, nil)}, revision: 2, provedAt: clock.Now()})
	clock.Advance(time.Second)
	f.apply(batch{after: 5, revision: 5, provedAt: clock.Now()})
	f.apply(batch{after: 2, revision: 2, provedAt: clock.Now()})
	require.Equal(t, time.Second, f.Age(), "a peer knows of revision 5")
}

func TestAListRemovesWhatItNoLongerHolds(t *testing.T) {
	f := newFollower(fake.NewClock())
	f.apply(batch{changes: []verbenastand.Change{registered("a", 2, nil), registered("b", 3, nil), table(4, 1)}, revision: 4})
	f.apply(batch{changes: []verbenastand.Change{registered("c", 9, nil)}, revision: 9})
	f.apply(batch{whole: true, changes: []verbenastand.Change{registered("b", 3, nil)}, revision: 8})
	require.Equal(t, map[string]verbenastand.ServerState{"b": verbenastand.ServerActive, "c": verbenastand.ServerActive}, states(f),
		"an older list does not undo what was heard since")
	require.NotNil(t, f.View().Table())
}

func TestChangesThatLeaveAGapAreNotTaken(t *testing.T) {
	f := newFollower(fake.NewClock())
	f.apply(batch{changes: []verbenastand.Change{registered("a", 2, nil)}, revision: 2})
	require.False(t, f.apply(batch{changes: []verbenastand.Change{registered("b", 5, nil)}, after: 4, revision: 5}))
	require.EqualValues(t, 2, f.Revision())
}

// While the store is away registrations may lapse. Servers whose registration is
// back within the grace were never gone; the others are gone after it.
func TestRegistrationsThatLapsedWhileTheStoreWasAway(t *testing.T) {
	clock := fake.NewClock()
	f := newFollower(clock)
	f.apply(batch{changes: []verbenastand.Change{registered("a", 2, nil), registered("b", 3, nil)}, revision: 3, provedAt: clock.Now()})
	clock.Advance(5 * time.Second)
	f.apply(batch{changes: []verbenastand.Change{removed("a", 4), removed("b", 5)}, after: 3, revision: 5, provedAt: clock.Now()})
	require.Len(t, states(f), 2)
	clock.Advance(time.Second)
	f.Tick(clock.Now())
	f.apply(batch{changes: []verbenastand.Change{registered("a", 6, nil)}, after: 5, revision: 6, provedAt: clock.Now()})
	require.Len(t, states(f), 2)
	clock.Advance(2 * time.Second)
	f.Tick(clock.Now())
	require.Equal(t, map[string]verbenastand.ServerState{"a": verbenastand.ServerActive}, states(f))
}

func TestAServerThatLeavesWithoutAnOutageIsGoneAtOnce(t *testing.T) {
	clock := fake.NewClock()
	f := newFollower(clock)
	f.apply(batch{changes: []verbenastand.Change{registered("a", 2, nil)}, revision: 2, provedAt: clock.Now()})
	clock.Advance(time.Second)
	f.apply(batch{changes: []verbenastand.Change{removed("a", 3)}, after: 2, revision: 3, provedAt: clock.Now()})
	require.Empty(t, states(f))
}

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

func TestAFleetFollowsWithFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer settle(cancel)
		f := newFleet(14)
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return table(r, 1) })
		f.run(ctx)
		time.Sleep(time.Second)
		for i := range 20 {
			id := fmt.Sprintf("s%d", i)
			f.store.write(func(r verbenastand.Revision) verbenastand.Change { return registered(id, r, nil) })
			time.Sleep(500 * time.Millisecond)
			require.Equal(t, 14, f.inForce(id))
		}
		time.Sleep(30 * time.Second)
		// Two readers, a call each two seconds and one for each change, a list at start.
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		require.Less(t, f.store.calls, 14+2*(21+20))
		require.Less(t, f.store.cheapCalls, 2*50)
		require.Len(t, f.readers(), 2)
	})
}

// TestHostsThatStartTogetherDoNotAllRead: after a loss of power no host knows the
// others at first.
func TestHostsThatStartTogetherDoNotAllRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer settle(cancel)
		f := newFleet(14)
		for _, h := range f.hosts {
			f.followers[h.ID()].config.Membership = lateMembership{f, []verbenastand.Host{h}, time.Now().Add(300 * time.Millisecond)}
		}
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return table(r, 1) })
		f.run(ctx)
		time.Sleep(3 * time.Second)
		// A list at start for each host, and two calls of each reader.
		require.LessOrEqual(t, f.store.called(), 14+2*2)
		for _, x := range f.followers {
			require.Less(t, x.Age(), 2*time.Second)
		}
	})
}

func TestAHostWithoutPeersReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer settle(cancel)
		f := newFleet(1)
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return table(r, 1) })
		f.run(ctx)
		time.Sleep(5 * time.Second)
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return registered("new", r, nil) })
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 1, f.inForce("new"))
	})
}

func TestChangesReachAllWithinTheBound(t *testing.T) {
	const bound = 2 * time.Second // The operators' bound for drains and for tables.
	// settling is the time after a disturbance of the store during which the
	// operators expect nothing in time.
	const settling = 3 * time.Second
	cases := []struct {
		name   string
		change func(f *fleet)
		bound  time.Duration
	}{
		{"a reader is cut off", func(f *fleet) { f.cut[f.readers()[0]] = true; f.store.down[f.readers()[0]] = true }, bound},
		{"the store refuses both readers", func(f *fleet) {
			for _, id := range f.readers() {
				f.store.down[id] = true
			}
		}, bound},
		{"the store refuses all but one host", func(f *fleet) {
			for _, h := range f.hosts {
				f.store.down[h.ID()] = h.ID() != "h5"
			}
		}, bound},
		{"the watches hear nothing any more", func(f *fleet) { f.store.deafCalls = f.store.calls }, bound},
		{"the watches hear nothing, and cheap answers are old", func(f *fleet) {
			f.store.deafCalls, f.store.staleRevision = f.store.calls, f.store.revision
		}, settling},
		{"the history is gone", func(f *fleet) { f.store.history = f.store.revision + 1 }, bound},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer settle(cancel)
				f := newFleet(14)
				f.store.write(func(r verbenastand.Revision) verbenastand.Change { return table(r, 1) })
				f.run(ctx)
				time.Sleep(10 * time.Second)
				f.mu.Lock()
				f.store.mu.Lock()
				tc.change(f)
				cut := len(f.cut)
				f.store.mu.Unlock()
				f.mu.Unlock()
				f.store.write(func(r verbenastand.Revision) verbenastand.Change { return registered("new", r, nil) })
				time.Sleep(tc.bound)
				require.GreaterOrEqual(t, f.inForce("new"), 14-cut)
			})
		})
	}
}

// TestALargeFleetIsToldThroughItsZones: few messages cross between zones, and the
// loss of a host that passes news on holds nothing up.
func TestALargeFleetIsToldThroughItsZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer settle(cancel)
		const size = 99
		f := newFleet(size)
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return table(r, 1) })
		f.run(ctx)
		time.Sleep(10 * time.Second)
		f.mu.Lock()
		f.between = 0
		f.mu.Unlock()
		const changes = 20
		for i := range changes {
			id := fmt.Sprintf("s%d", i)
			f.store.write(func(r verbenastand.Revision) verbenastand.Change { return registered(id, r, nil) })
			time.Sleep(500 * time.Millisecond)
			require.Equal(t, size, f.inForce(id))
		}
		f.mu.Lock()
		// Two readers reach two other zones each, for each change and each check; a
		// repeated message for each leaves room.
		require.Less(t, f.between, 2*2*2*(changes+2*changes))
		f.cut[f.hostOfRank(0)] = true
		f.mu.Unlock()
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return registered("late", r, nil) })
		time.Sleep(2 * time.Second)
		require.GreaterOrEqual(t, f.inForce("late"), size-1)
	})
}

// TestFewHostsReadWhileTheReadersAreCutOff: the readers reach the store but no peer,
// as in a partition. The hosts that read in their stead prove it to the others at once.
func TestFewHostsReadWhileTheReadersAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer settle(cancel)
		const size = 99
		f := newFleet(size)
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return table(r, 1) })
		f.run(ctx)
		time.Sleep(10 * time.Second)
		f.mu.Lock()
		f.store.mu.Lock()
		before := f.store.calls
		for _, id := range f.readers() {
			f.cut[id] = true
		}
		f.store.mu.Unlock()
		f.mu.Unlock()
		const cutTime = 12 * time.Second
		time.Sleep(cutTime)
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		// A call each two seconds from both readers and from four in their stead.
		require.Less(t, f.store.calls-before, 6*int(cutTime/(2*time.Second)))
		stale := 0
		for _, x := range f.followers {
			if x.Age() > 2*time.Second {
				stale++
			}
		}
		require.Zero(t, stale)
	})
}

// TestALargeFleetCatchesUpAfterTheStoreForgotItsHistory: the store drops its history,
// its watches hear nothing and its short answers are old for a second, as while it elects
// a leader. All objects of a large deployment are then many times what a slow
// link carries in time if every host gets them from one.
func TestALargeFleetCatchesUpAfterTheStoreForgotItsHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer settle(cancel)
		const size = 129
		f := newFleet(size)
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return table(r, 1) })
		for i := range 421 {
			f.store.write(func(r verbenastand.Revision) verbenastand.Change {
				return registered(fmt.Sprintf("i-%010x", i*2654435761), r, func(c *verbenastand.RegistrationConfig) {
					c.Address, c.Born = fmt.Sprintf("10.%d.%d.%d:8480", i%4, i/200, i%200), int64(i)*2654435761
				})
			})
		}
		f.run(ctx)
		time.Sleep(10 * time.Second)
		f.mu.Lock()
		// Calls take three quarters of a link of 10 Mbit/s.
		f.linkBytesPerSecond = 10_000_000 / 8 / 4
		f.mu.Unlock()
		f.store.mu.Lock()
		f.store.staleRevision = f.store.revision
		f.store.deafCalls = f.store.calls
		f.store.history = f.store.revision + 1
		f.store.mu.Unlock()
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return largeTable(r, 60) })
		calls := f.store.called()
		time.Sleep(time.Second)
		f.store.mu.Lock()
		f.store.staleRevision = 0
		f.store.mu.Unlock()
		time.Sleep(2500 * time.Millisecond)
		behind := 0
		for _, x := range f.followers {
			if x.View().Table().Version() != 2 {
				behind++
			}
		}
		require.Zero(t, behind)
		require.Less(t, f.store.called()-calls, size)
	})
}

// TestAnOutageOfTheStoreCostsFewCalls: the store refuses everybody for eight seconds.
// Refused calls have their price; all hosts are up to date soon after its return.
func TestAnOutageOfTheStoreCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer settle(cancel)
		f := newFleet(14)
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return table(r, 1) })
		f.run(ctx)
		time.Sleep(10 * time.Second)
		outage := func(down bool) (calls int) {
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			for _, h := range f.hosts {
				f.store.down[h.ID()] = down
			}
			return f.store.calls + f.store.cheapCalls
		}
		before := outage(true)
		time.Sleep(8 * time.Second)
		// The operators pay for 250 calls a day, of which a day without an outage takes 150.
		require.Less(t, outage(false)-before, 100)
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return registered("new", r, nil) })
		time.Sleep(2 * time.Second)
		require.Equal(t, 14, f.inForce("new"))
	})
}

// TestALargeTableCrossesSlowLinks: a table of 1,480 routes is in force on 129 hosts
// with links of 10 Mbit/s within the operators' bound of 2.5 s.
func TestALargeTableCrossesSlowLinks(t *testing.T) {
	cases := []struct {
		name    string
		disturb func(f *fleet)
	}{
		{"nothing else happens", func(*fleet) {}},
		{"short answers of the store are late as well", func(f *fleet) { f.store.newestDelay = 500 * time.Millisecond }},
		{"a host that passes messages on is cut off", func(f *fleet) { f.cut[f.hostOfRank(0)] = true }},
		{"a reader is cut off", func(f *fleet) { f.cut[f.readers()[0]], f.store.down[f.readers()[0]] = true, true }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer settle(cancel)
				const size = 129
				f := newFleet(size)
				f.linkBytesPerSecond = 10_000_000 / 8
				f.store.write(func(r verbenastand.Revision) verbenastand.Change { return table(r, 1) })
				f.run(ctx)
				time.Sleep(10 * time.Second)
				// The worst moment is right after a proof, when hosts wait longest.
				for f.followers["h5"].Age() > 100*time.Millisecond {
					time.Sleep(10 * time.Millisecond)
				}
				f.mu.Lock()
				f.store.mu.Lock()
				f.store.answerDelay = 800 * time.Millisecond
				tc.disturb(f)
				cut := len(f.cut)
				f.store.mu.Unlock()
				f.mu.Unlock()
				f.store.write(func(r verbenastand.Revision) verbenastand.Change { return largeTable(r, 1480) })
				time.Sleep(2500 * time.Millisecond)
				behind := 0
				for _, x := range f.followers {
					if x.View().Table().Version() != 2 {
						behind++
					}
				}
				require.LessOrEqual(t, behind, cut)
			})
		})
	}
}

// largeTable is the second version of the table.
func largeTable(revision verbenastand.Revision, routes int) verbenastand.Change {
	c := verbenastand.RouteTableConfig{Version: 2, Services: make(map[verbenastand.ServiceName]verbenastand.ServiceSettings)}
	for i := range routes {
		c.Routes = append(c.Routes, verbenastand.NewRoute(verbenastand.RouteConfig{
			Name: verbenastand.RouteName(fmt.Sprintf("r-%08x", i*2654435761)), HostName: fmt.Sprintf("h%d.example", i%7),
			PathPrefix: fmt.Sprintf("/p%d/", i), Timeout: time.Second, Target: time.Second, MaxAttempts: 2,
			Parts: []verbenastand.Weighted{verbenastand.NewWeighted("service-a", 90), verbenastand.NewWeighted("service-b", 10)},
		}))
	}
	return verbenastand.Change{Key: "config", Revision: revision, Table: verbenastand.NewRouteTable(c)}
}

func TestAHostThatStartsWhileTheStoreIsAwayLearnsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer settle(cancel)
		f := newFleet(3)
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return table(r, 7) })
		f.run(ctx)
		time.Sleep(time.Second)
		f.store.mu.Lock()
		for _, h := range f.hosts {
			f.store.down[h.ID()] = true
		}
		f.store.mu.Unlock()
		late := NewFollower(Config{
			Clock: wallClock{}, Store: view{f.store, "h0"}, Relay: relayFrom{f, "late"}, Membership: f, Self: f.hosts[0],
			OnView: func(*verbenastand.View) {},
		})
		late.Bootstrap(ctx, f.hosts[1:])
		require.True(t, late.Known())
		require.EqualValues(t, 7, late.View().Table().Version())
	})
}

func TestMessagesKeepEverything(t *testing.T) {
	cases := []struct {
		name  string
		table verbenastand.Change
	}{
		{"small", table(6, 2)},
		{"compressed", largeTable(6, 1480)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			clock := fake.NewClock()
			b := batch{after: 3, revision: 9, provedAt: clock.Now(), passOn: []verbenastand.HostID{"h1", "h2"}, changes: []verbenastand.Change{
				registered("a", 4, func(c *verbenastand.RegistrationConfig) { c.Warmup, c.Version = time.Second, "v1" }),
				removed("b", 5), tc.table, {Key: "servers/c", Revision: 7, Fault: faultText("no")},
			}}
			data, err := encode(b, clock.Now())
			require.NoError(t, err)
			m, err := decode(data)
			require.NoError(t, err)
			require.Equal(t, b, m.batch(clock.Now()))
		})
	}
}

func TestAMessageThatUnpacksWithoutEndIsRefused(t *testing.T) {
	packed, err := pack(make([]byte, MaxMessageBytes+1))
	require.NoError(t, err)
	data, err := marshal(message{Version: messageVersion, Packed: packed})
	require.NoError(t, err)
	_, err = decode(data)
	require.ErrorContains(t, err, "exceeds")
	packed, err = pack(data)
	require.NoError(t, err)
	data, err = marshal(message{Version: messageVersion, Packed: packed})
	require.NoError(t, err)
	_, err = decode(data)
	require.ErrorContains(t, err, "twice")
}

func FuzzDecode(f *testing.F) {
	data, _ := encode(batch{revision: 9, changes: []verbenastand.Change{registered("a", 4, nil), table(6, 2)}}, time.Now())
	f.Add(data)
	packed, _ := encode(batch{revision: 9, changes: []verbenastand.Change{largeTable(6, 200)}}, time.Now())
	f.Add(packed)
	f.Fuzz(func(_ *testing.T, data []byte) {
		m, err := decode(data)
		if err != nil {
			return
		}
		newFollower(fake.NewClock()).apply(m.batch(time.Now()))
	})
}
