package follower

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

func registered(id string, revision verbenastand.Revision, change func(*verbenastand.RegistrationConfig)) verbenastand.Change {
	c := verbenastand.RegistrationConfig{
		Server: verbenastand.ServerID(id), Service: "s", Zone: "z", Address: "10.0.0.1:80", Slots: 6, StartTime: 1, Sequence: uint64(revision),
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
			Split: []verbenastand.WeightedService{verbenastand.NewWeightedService("s", 1)},
		}),
	}, Services: map[verbenastand.ServiceName]verbenastand.ServiceSettings{"s": {HealthPath: "/health", MaxConnections: 9, WarmupRate: 4.3}}})
	return verbenastand.Change{Key: "config", Revision: revision, Table: t}
}

// newFollower returns a follower without a store or peers.
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
		{"a server registers and unregisters", []verbenastand.Change{registered("a", 2, nil), registered("b", 3, nil), removed("a", 4)},
			map[string]verbenastand.ServerState{"b": verbenastand.ServerActive}, 0},
		{"a server drains", []verbenastand.Change{registered("a", 2, nil), registered("a", 3, draining)},
			map[string]verbenastand.ServerState{"a": verbenastand.ServerDraining}, 0},
		{"an older change arrives late", []verbenastand.Change{registered("a", 3, draining), registered("a", 2, nil)},
			map[string]verbenastand.ServerState{"a": verbenastand.ServerDraining}, 0},
		{"an outdated registration is written late", []verbenastand.Change{
			registered("a", 3, draining), registered("a", 4, func(c *verbenastand.RegistrationConfig) { c.Sequence = 1 })},
			map[string]verbenastand.ServerState{"a": verbenastand.ServerDraining}, 0},
		{"an outdated registration is written after its removal", []verbenastand.Change{
			registered("a", 3, nil), removed("a", 4), registered("a", 5, func(c *verbenastand.RegistrationConfig) { c.Sequence = 1 })},
			map[string]verbenastand.ServerState{}, 0},
		{"a server restarts under the same name", []verbenastand.Change{
			registered("a", 3, draining), registered("a", 4, func(c *verbenastand.RegistrationConfig) { c.StartTime, c.Sequence = 2, 0 })},
			map[string]verbenastand.ServerState{"a": verbenastand.ServerActive}, 0},
		{"the previous process registers again", []verbenastand.Change{
			registered("a", 3, func(c *verbenastand.RegistrationConfig) { c.StartTime = 2 }), registered("a", 4, draining)},
			map[string]verbenastand.ServerState{"a": verbenastand.ServerActive}, 0},
		{"a registration becomes unreadable", []verbenastand.Change{
			registered("a", 3, nil), registered("b", 4, nil), {Key: "servers/a", Revision: 5, Err: errors.New("no")}},
			map[string]verbenastand.ServerState{"b": verbenastand.ServerActive}, 0},
		{"a newer table", []verbenastand.Change{table(2, 5), table(3, 9)}, map[string]verbenastand.ServerState{}, 9},
		{"a table with an older version", []verbenastand.Change{table(2, 9), table(3, 5)}, map[string]verbenastand.ServerState{}, 9},
		{"an unreadable table", []verbenastand.Change{table(2, 9), {Key: "config", Revision: 3, Err: errors.New("no")}},
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

// TestOrderOfArrivalDoesNotMatter: hosts that received the same changes of the
// store, in any order and any number of times, have the same view.
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
		if a.HasRouteTable() != b.HasRouteTable() || (a.HasRouteTable() && a.View().Table().Version() != b.View().Table().Version()) {
			t.Fatal("the tables differ")
		}
	})
}

// TestChangesSinceBringsPeersUpToDate: a host that received lists and changes must
// bring a peer at any revision to its own state.
func TestChangesSinceBringsPeersUpToDate(t *testing.T) {
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
			after := f.Position().Revision
			f.apply(batch{changes: changes[after:until], after: after, revision: verbenastand.Revision(until)})
		}
		list := func(f *Follower, until int) {
			latest := make(map[string]verbenastand.Change)
			for _, c := range changes[:until] {
				latest[c.Key] = c
			}
			b := batch{full: true, revision: verbenastand.Revision(until)}
			for _, c := range latest {
				if !c.Removed {
					b.changes = append(b.changes, c)
				}
			}
			f.apply(b)
		}
		sender, peer := newFollower(fake.NewClock()), newFollower(fake.NewClock())
		listed := false
		for range rapid.IntRange(1, 5).Draw(t, "steps") {
			until := rapid.IntRange(int(sender.Position().Revision), len(changes)).Draw(t, "until")
			if rapid.Bool().Draw(t, "list") {
				list(sender, until)
				listed = true
				continue
			}
			follow(sender, until)
		}
		follow(peer, rapid.IntRange(0, int(sender.Position().Revision)).Draw(t, "peer"))
		fresh := peer.Position().Revision == 0
		peer.apply(sender.changesSince(peer.Position()))
		if peer.Position().Revision != sender.Position().Revision || fmt.Sprint(states(peer)) != fmt.Sprint(states(sender)) {
			t.Fatalf("%d: %v, want %d: %v", peer.Position().Revision, states(peer), sender.Position().Revision, states(sender))
		}
		if listed || fresh {
			// A list of all objects does not contain removed ones, by whose last
			// registration a late one is recognized as outdated.
			return
		}
		late := registered("a", sender.Position().Revision+1, func(c *verbenastand.RegistrationConfig) {
			c.Sequence = rapid.Uint64Range(1, 30).Draw(t, "sequence of a late registration")
		})
		sender.apply(batch{changes: []verbenastand.Change{late}, revision: late.Revision})
		peer.apply(batch{changes: []verbenastand.Change{late}, revision: late.Revision})
		if fmt.Sprint(states(peer)) != fmt.Sprint(states(sender)) {
			t.Fatalf("after a late registration %v, want %v", states(peer), states(sender))
		}
	})
}

// TestOnlyTheNewestChangeOfAnObjectIsSent: after many changes of a large table, a
// peer must receive only the last one.
func TestOnlyTheNewestChangeOfAnObjectIsSent(t *testing.T) {
	f := newFollower(fake.NewClock())
	f.apply(batch{changes: []verbenastand.Change{registered("a", 1, nil)}, revision: 1})
	for revision := verbenastand.Revision(2); revision <= 40; revision++ {
		f.apply(batch{changes: []verbenastand.Change{table(revision, verbenastand.TableVersion(revision))}, after: revision - 1, revision: revision})
	}
	b := f.changesSince(verbenastand.Position{Revision: 1})
	require.Len(t, b.changes, 1)
	require.EqualValues(t, 40, b.changes[0].Table.Version())
}

func TestAnOldRevisionDoesNotConfirmTheView(t *testing.T) {
	clock := fake.NewClock()
	f := newFollower(clock)
	f.apply(batch{changes: []verbenastand.Change{registered("a", 2, nil)}, revision: 2, confirmedAt: clock.Now()})
	clock.Advance(time.Second)
	f.apply(batch{after: 5, revision: 5, confirmedAt: clock.Now()})
	f.apply(batch{after: 2, revision: 2, confirmedAt: clock.Now()})
	require.Equal(t, time.Second, f.Staleness(), "a peer knows revision 5")
}

func TestAListRemovesRegistrationsItDoesNotContain(t *testing.T) {
	f := newFollower(fake.NewClock())
	f.apply(batch{changes: []verbenastand.Change{registered("a", 2, nil), registered("b", 3, nil), table(4, 1)}, revision: 4})
	f.apply(batch{changes: []verbenastand.Change{registered("c", 9, nil)}, revision: 9})
	f.apply(batch{full: true, changes: []verbenastand.Change{registered("b", 3, nil)}, revision: 8})
	require.Equal(t, map[string]verbenastand.ServerState{"b": verbenastand.ServerActive, "c": verbenastand.ServerActive}, states(f),
		"an older list does not undo changes received since")
	require.NotNil(t, f.View().Table())
}

func TestBatchesThatLeaveAGapAreRejected(t *testing.T) {
	f := newFollower(fake.NewClock())
	f.apply(batch{changes: []verbenastand.Change{registered("a", 2, nil)}, revision: 2})
	require.False(t, f.apply(batch{changes: []verbenastand.Change{registered("b", 5, nil)}, after: 4, revision: 5}))
	require.EqualValues(t, 2, f.Position().Revision)
}

// TestRegistrationsThatExpireDuringAnOutage: registrations may expire while the
// store is unavailable. A server that renews its registration within the grace
// period must stay in the view throughout; the others must be removed after it.
func TestRegistrationsThatExpireDuringAnOutage(t *testing.T) {
	clock := fake.NewClock()
	f := newFollower(clock)
	f.apply(batch{changes: []verbenastand.Change{registered("a", 2, nil), registered("b", 3, nil)}, revision: 3, confirmedAt: clock.Now()})
	clock.Advance(5 * time.Second)
	f.apply(batch{changes: []verbenastand.Change{removed("a", 4), removed("b", 5)}, after: 3, revision: 5, confirmedAt: clock.Now()})
	require.Len(t, states(f), 2)
	clock.Advance(time.Second)
	f.ExpireRegistrations(clock.Now())
	f.apply(batch{changes: []verbenastand.Change{registered("a", 6, nil)}, after: 5, revision: 6, confirmedAt: clock.Now()})
	require.Len(t, states(f), 2)
	clock.Advance(2 * time.Second)
	f.ExpireRegistrations(clock.Now())
	require.Equal(t, map[string]verbenastand.ServerState{"a": verbenastand.ServerActive}, states(f))
}

func TestRemovalWithoutAnOutageTakesEffectAtOnce(t *testing.T) {
	clock := fake.NewClock()
	f := newFollower(clock)
	f.apply(batch{changes: []verbenastand.Change{registered("a", 2, nil)}, revision: 2, confirmedAt: clock.Now()})
	clock.Advance(time.Second)
	f.apply(batch{changes: []verbenastand.Change{removed("a", 3)}, after: 2, revision: 3, confirmedAt: clock.Now()})
	require.Empty(t, states(f))
}

// tableWithWarning returns a table of which a part was not understood.
func tableWithWarning() verbenastand.Change {
	c := table(6, 2)
	c.Warning = decodingError("unknown kind")
	return c
}

func TestATableWithAWarningTakesEffect(t *testing.T) {
	clock := fake.NewClock()
	f := newFollower(clock)
	var events []Event
	f.config.OnEvent = func(e Event) { events = append(events, e) }
	f.apply(batch{changes: []verbenastand.Change{tableWithWarning()}, revision: 6, confirmedAt: clock.Now()})
	require.True(t, f.HasRouteTable())
	require.Len(t, events, 1)
	require.Equal(t, "tableInForce", events[0].Name)
	require.ErrorContains(t, events[0].Err, "unknown kind")
}

func TestMessagesRoundTrip(t *testing.T) {
	cases := []struct {
		name  string
		table verbenastand.Change
	}{
		{"small", table(6, 2)},
		{"with a warning", tableWithWarning()},
		{"compressed", largeTable(6, 1480)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			clock := fake.NewClock()
			b := batch{after: 3, revision: 9, confirmedAt: clock.Now(), forwardTo: []verbenastand.HostID{"h1", "h2"}, changes: []verbenastand.Change{
				registered("a", 4, func(c *verbenastand.RegistrationConfig) { c.Warmup, c.Version = time.Second, "v1" }),
				removed("b", 5), tc.table, {Key: "servers/c", Revision: 7, Err: decodingError("no")},
				{Key: "evacuate/zone-a", Revision: 8, Evacuated: "zone-a"}, {Key: "evacuate/zone-b", Revision: 9, Removed: true},
			}}
			data, err := encode(b, clock.Now())
			require.NoError(t, err)
			m, err := decode(data)
			require.NoError(t, err)
			require.Equal(t, b, m.batch(clock.Now()))
		})
	}
}

func TestDecompressedSizeIsBounded(t *testing.T) {
	compressed, err := compress(make([]byte, MaxMessageBytes+1))
	require.NoError(t, err)
	data, err := marshal(message{Version: messageVersion, Compressed: compressed})
	require.NoError(t, err)
	_, err = decode(data)
	require.ErrorContains(t, err, "exceeds")
	compressed, err = compress(data)
	require.NoError(t, err)
	data, err = marshal(message{Version: messageVersion, Compressed: compressed})
	require.NoError(t, err)
	_, err = decode(data)
	require.ErrorContains(t, err, "twice")
}

func FuzzDecode(f *testing.F) {
	data, _ := encode(batch{revision: 9, changes: []verbenastand.Change{registered("a", 4, nil), table(6, 2)}}, time.Now())
	f.Add(data)
	compressed, _ := encode(batch{revision: 9, changes: []verbenastand.Change{largeTable(6, 200)}}, time.Now())
	f.Add(compressed)
	f.Fuzz(func(_ *testing.T, data []byte) {
		m, err := decode(data)
		if err != nil {
			return
		}
		newFollower(fake.NewClock()).apply(m.batch(time.Now()))
	})
}

// Guards against a host that sends requests to the servers of an evacuated zone, or keeps the
// evacuation after its end, whichever way it learns of it.
func TestEvacuations(t *testing.T) {
	began := verbenastand.Change{Key: "evacuate/zone-a", Revision: 3, Evacuated: "zone-a"}
	ended := verbenastand.Change{Key: "evacuate/zone-a", Revision: 5, Removed: true}
	f := newFollower(fake.NewClock())
	f.apply(batch{changes: []verbenastand.Change{table(2, 1), began}, full: true, revision: 4})
	require.True(t, f.View().Evacuated("zone-a"))
	require.False(t, f.View().Evacuated("zone-b"))

	peer := newFollower(fake.NewClock())
	peer.apply(f.changesSince(peer.Position()))
	require.True(t, peer.View().Evacuated("zone-a"))

	f.apply(batch{changes: []verbenastand.Change{ended}, after: 4, revision: 5})
	require.Zero(t, f.View().EvacuatedZones())
	peer.apply(f.changesSince(peer.Position()))
	require.Zero(t, peer.View().EvacuatedZones())

	peer.apply(batch{changes: []verbenastand.Change{{Key: began.Key, Revision: 6, Evacuated: "zone-a"}}, after: 5, revision: 6})
	require.True(t, peer.View().Evacuated("zone-a"))
	peer.apply(batch{changes: []verbenastand.Change{table(2, 1)}, full: true, revision: 8})
	require.Zero(t, peer.View().EvacuatedZones(), "a list that lacks the evacuation ends it")
}
