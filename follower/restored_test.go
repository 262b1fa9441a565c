package follower

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

// settling is the time after the return of the store within which all hosts must have
// what was written before it.
const settling = time.Second

func (f *fleet) writeTable(version verbenastand.TableVersion) {
	f.store.write(func(r verbenastand.Revision) verbenastand.Change { return table(r, version) })
}

// writeServer writes the registration with the given sequence number.
func (f *fleet) writeServer(id string, sequence uint64, state verbenastand.ServerState) {
	f.store.write(func(r verbenastand.Revision) verbenastand.Change {
		return registered(id, r, func(c *verbenastand.RegistrationConfig) { c.Sequence, c.State = sequence, state })
	})
}

// leave removes the registration of a server that leaves.
func (f *fleet) leave() {
	f.store.write(func(r verbenastand.Revision) verbenastand.Change { return removed("left", r) })
}

// requireVersion checks that all hosts use the same version of the table.
func (f *fleet) requireVersion(t *testing.T, version verbenastand.TableVersion) {
	t.Helper()
	for id, member := range f.followers {
		require.Equal(t, version, member.View().Table().Version(), "host %s", id)
	}
}

// requireStates checks that all hosts know the same servers.
func (f *fleet) requireStates(t *testing.T, want map[string]verbenastand.ServerState) {
	t.Helper()
	for id, member := range f.followers {
		require.Equal(t, want, states(member), "host %s", id)
	}
}

// TestAFleetFollowsAStoreThatReturnsFromAnOlderCopy: the store loses its last changes and
// gives out their revisions again; hosts that order its states by revision alone missed
// what was written under them.
func TestAFleetFollowsAStoreThatReturnsFromAnOlderCopy(t *testing.T) {
	runInFleet(t, 14, func(f *fleet) {
		f.writeServer("a", 1, verbenastand.ServerActive)
		f.writeTable(2)
		time.Sleep(time.Second)
		copied := f.store.newestRevision()
		f.writeTable(3)
		f.writeTable(4)
		time.Sleep(time.Second)
		f.store.restore(copied)
		time.Sleep(time.Second)
		f.requireVersion(t, 4)
		f.writeTable(4)
		f.writeTable(5)
		time.Sleep(settling)
		f.requireVersion(t, 5)
		f.writeServer("a", 2, verbenastand.ServerDraining)
		time.Sleep(settling)
		f.requireStates(t, map[string]verbenastand.ServerState{"a": verbenastand.ServerDraining})
	})
}

// TestAServerThatJoinedInTheLostSecondsStays: the copy does not have it, but it is
// running, and registers again.
func TestAServerThatJoinedInTheLostSecondsStays(t *testing.T) {
	runInFleet(t, 14, func(f *fleet) {
		f.writeServer("a", 1, verbenastand.ServerActive)
		time.Sleep(time.Second)
		copied := f.store.newestRevision()
		f.writeServer("joined", 1, verbenastand.ServerActive)
		f.writeServer("crashed", 1, verbenastand.ServerActive)
		time.Sleep(time.Second)
		f.store.restore(copied)
		for range 19 {
			time.Sleep(100 * time.Millisecond)
			f.expireRegistrations()
			require.Equal(t, 14, f.hostsWithServer("joined"))
		}
		f.writeServer("joined", 2, verbenastand.ServerActive)
		time.Sleep(2 * time.Second)
		f.expireRegistrations()
		f.requireStates(t, map[string]verbenastand.ServerState{"a": verbenastand.ServerActive, "joined": verbenastand.ServerActive})
	})
}

func (f *fleet) expireRegistrations() {
	for _, member := range f.followers {
		member.ExpireRegistrations(time.Now())
	}
}

// TestADrainInTheLostSecondsHolds: the copy shows the server as active, by an earlier
// registration.
func TestADrainInTheLostSecondsHolds(t *testing.T) {
	runInFleet(t, 14, func(f *fleet) {
		f.writeServer("a", 1, verbenastand.ServerActive)
		time.Sleep(time.Second)
		copied := f.store.newestRevision()
		f.writeServer("a", 2, verbenastand.ServerDraining)
		time.Sleep(time.Second)
		f.store.restore(copied)
		draining := map[string]verbenastand.ServerState{"a": verbenastand.ServerDraining}
		time.Sleep(settling)
		f.requireStates(t, draining)
		f.writeServer("a", 3, verbenastand.ServerDraining)
		time.Sleep(settling)
		f.requireStates(t, draining)
	})
}

// TestTheStoreReturnsTwice: the second copy is older than the first, and one host is cut
// off from the store and its peers during the first return.
func TestTheStoreReturnsTwice(t *testing.T) {
	cases := []struct {
		name  string
		apart time.Duration
	}{
		{"some seconds apart", 4 * time.Second},
		{"at once", 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runInFleet(t, 14, func(f *fleet) {
				f.writeServer("a", 1, verbenastand.ServerActive)
				f.writeTable(2)
				time.Sleep(time.Second)
				copied := f.store.newestRevision()
				f.writeTable(3)
				f.writeTable(4)
				time.Sleep(time.Second)
				f.cut("h3", true)
				f.store.restore(copied)
				time.Sleep(tc.apart)
				f.writeTable(4)
				f.writeTable(5)
				time.Sleep(tc.apart)
				f.store.restore(copied)
				f.cut("h3", false)
				f.writeTable(5)
				f.writeTable(6)
				f.writeServer("b", 1, verbenastand.ServerActive)
				time.Sleep(2 * time.Second)
				f.requireVersion(t, 6)
				f.requireStates(t, map[string]verbenastand.ServerState{"a": verbenastand.ServerActive, "b": verbenastand.ServerActive})
			})
		})
	}
}

// cut partitions a host from the store and from its peers.
func (f *fleet) cut(id verbenastand.HostID, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.partitioned[id], f.store.down[id] = cut, cut
}

// TestMessagesOfAnEarlierEraAreIgnored: a message that was sent before the return of the
// store arrives after it, with a higher revision.
func TestMessagesOfAnEarlierEraAreIgnored(t *testing.T) {
	clock := fake.NewClock()
	f := newFollower(clock)
	f.apply(batch{full: true, era: 2, revision: 5, confirmedAt: clock.Now(), changes: []verbenastand.Change{registered("a", 4, nil), table(5, 3)}})
	clock.Advance(time.Second)
	late := []batch{
		{era: 1, after: 5, revision: 9, confirmedAt: clock.Now(), changes: []verbenastand.Change{removed("a", 9)}},
		{era: 1, full: true, revision: 9, confirmedAt: clock.Now(), changes: []verbenastand.Change{registered("b", 9, nil), table(8, 2)}},
		{era: 1, after: 9, revision: 9, confirmedAt: clock.Now()},
	}
	for _, b := range late {
		data, err := encode(b, clock.Now())
		require.NoError(t, err)
		response, err := f.HandleMessage(data)
		require.NoError(t, err)
		m, err := decode(response)
		require.NoError(t, err)
		require.Equal(t, verbenastand.Position{Era: 2, Revision: 5}, m.position(), "the sender learns of the later era")
	}
	require.Equal(t, map[string]verbenastand.ServerState{"a": verbenastand.ServerActive}, states(f))
	require.EqualValues(t, 3, f.View().Table().Version())
	require.Equal(t, time.Second, f.Staleness())
}

// TestAConfirmationOfAnEarlierEraIsVoid: a reader that has not learnt of the return
// confirms a revision that the store no longer has.
func TestAConfirmationOfAnEarlierEraIsVoid(t *testing.T) {
	clock := fake.NewClock()
	f := newFollower(clock)
	f.apply(batch{full: true, era: 1, revision: 9, confirmedAt: clock.Now(), changes: []verbenastand.Change{table(8, 2)}})
	f.noteNewest(verbenastand.Position{Era: 2, Revision: 5})
	clock.Advance(time.Second)
	f.apply(batch{era: 1, after: 9, revision: 9, confirmedAt: clock.Now()})
	require.Equal(t, time.Second, f.Staleness())
	require.False(t, f.apply(batch{era: 2, after: 5, revision: 6, confirmedAt: clock.Now()}), "changes of a later era need its state")
}

// TestAServerThatLeftInTheLostSecondsStaysOut: the copy still has its registration, which
// is not written again. One that registers again is in use.
func TestAServerThatLeftInTheLostSecondsStaysOut(t *testing.T) {
	cases := []struct {
		name  string
		leave func(f *fleet)
	}{
		{"removed at once", func(f *fleet) { f.leave() }},
		{"drained before", func(f *fleet) {
			f.writeServer("left", 2, verbenastand.ServerDraining)
			f.leave()
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runInFleet(t, 14, func(f *fleet) {
				f.writeServer("left", 1, verbenastand.ServerActive)
				time.Sleep(time.Second)
				copied := f.store.newestRevision()
				tc.leave(f)
				time.Sleep(time.Second)
				f.store.restore(copied)
				for range 30 {
					time.Sleep(100 * time.Millisecond)
					f.requireStates(t, map[string]verbenastand.ServerState{})
				}
				f.leave()
				time.Sleep(settling)
				f.writeServer("left", 9, verbenastand.ServerActive)
				time.Sleep(settling)
				f.requireStates(t, map[string]verbenastand.ServerState{"left": verbenastand.ServerActive})
			})
		})
	}
}

// TestRegistrationsOfACopy: which registrations that a host finds after the return of the
// store are older than what it knows.
func TestRegistrationsOfACopy(t *testing.T) {
	anonymous := func(c *verbenastand.RegistrationConfig) { c.StartTime, c.Sequence = 0, 0 }
	anonymousDraining := func(c *verbenastand.RegistrationConfig) {
		c.StartTime, c.Sequence, c.State = 0, 0, verbenastand.ServerDraining
	}
	sequence := func(n uint64) func(*verbenastand.RegistrationConfig) {
		return func(c *verbenastand.RegistrationConfig) { c.Sequence = n }
	}
	restarted := func(c *verbenastand.RegistrationConfig) { c.StartTime, c.Sequence = 2, 1 }
	active := map[string]verbenastand.ServerState{"a": verbenastand.ServerActive}
	draining := map[string]verbenastand.ServerState{"a": verbenastand.ServerDraining}
	none := map[string]verbenastand.ServerState{}
	cases := []struct {
		name   string
		before []verbenastand.Change
		copied verbenastand.Change
		want   map[string]verbenastand.ServerState
	}{
		{"removed, the same registration", []verbenastand.Change{registered("a", 4, nil), removed("a", 5)}, registered("a", 4, nil), none},
		{"removed, registered again with the next number", []verbenastand.Change{registered("a", 4, nil), removed("a", 5)}, registered("a", 6, sequence(5)), active},
		{"removed, the next number before the removal", []verbenastand.Change{registered("a", 4, nil), removed("a", 5)}, registered("a", 5, sequence(5)), none},
		{"removed, registered again as before", []verbenastand.Change{registered("a", 4, nil), removed("a", 5)}, registered("a", 6, sequence(4)), active},
		{"removed, started again", []verbenastand.Change{registered("a", 4, nil), removed("a", 5)}, registered("a", 4, restarted), active},
		{"removed, no start time, the same", []verbenastand.Change{registered("a", 4, anonymous), removed("a", 5)}, registered("a", 4, anonymous), none},
		{"removed, no start time, earlier", []verbenastand.Change{registered("a", 4, anonymous), removed("a", 5)}, registered("a", 3, anonymous), none},
		{"removed, no start time, later", []verbenastand.Change{registered("a", 4, anonymous), removed("a", 5)}, registered("a", 6, anonymous), active},
		{"draining, no start time, an earlier one", []verbenastand.Change{registered("a", 4, anonymousDraining)}, registered("a", 3, anonymous), draining},
		{"active, no start time, draining", []verbenastand.Change{registered("a", 4, anonymous)}, registered("a", 3, anonymousDraining), draining},
		{"active, the same", []verbenastand.Change{registered("a", 4, nil)}, registered("a", 4, nil), active},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			clock := fake.NewClock()
			f := newFollower(clock)
			for _, c := range tc.before {
				f.apply(batch{era: 1, full: c.Revision == 4, revision: c.Revision, after: c.Revision - 1, changes: []verbenastand.Change{c}, confirmedAt: clock.Now()})
			}
			require.True(t, f.apply(batch{era: 2, full: true, revision: 6, changes: []verbenastand.Change{tc.copied}, confirmedAt: clock.Now()}))
			require.Equal(t, tc.want, states(f))
		})
	}
}

// TestARunningServerThatExpiredInTheLostSecondsIsUsedAgain: the server was cut off from
// the store for a while. It renews the registration of the copy, which does not change it.
func TestARunningServerThatExpiredInTheLostSecondsIsUsedAgain(t *testing.T) {
	clock := fake.NewClock()
	f := newFollower(clock)
	f.config.RegistrationLifetime = 4500 * time.Millisecond
	confirm := func() { f.apply(batch{era: f.era, after: f.revision, revision: f.revision, confirmedAt: clock.Now()}) }
	f.apply(batch{era: 1, full: true, revision: 4, confirmedAt: clock.Now(), changes: []verbenastand.Change{registered("a", 4, nil), registered("b", 3, nil), registered("c", 2, nil)}})
	f.apply(batch{era: 1, after: 4, revision: 7, confirmedAt: clock.Now(), changes: []verbenastand.Change{removed("a", 5), removed("b", 6), removed("c", 7)}})
	f.apply(batch{era: 2, full: true, revision: 4, confirmedAt: clock.Now(), changes: []verbenastand.Change{registered("a", 4, nil), registered("b", 3, nil), registered("c", 2, nil)}})
	for range 45 {
		clock.Advance(100 * time.Millisecond)
		confirm()
		f.ExpireRegistrations(clock.Now())
		require.Empty(t, states(f))
	}
	f.apply(batch{era: 2, after: 4, revision: 5, confirmedAt: clock.Now(), changes: []verbenastand.Change{removed("b", 5)}})
	f.apply(batch{era: 2, full: true, revision: 8, confirmedAt: clock.Now(), changes: []verbenastand.Change{registered("a", 4, nil)}})
	clock.Advance(3 * time.Second)
	f.ExpireRegistrations(clock.Now())
	require.Empty(t, states(f), "while the store is unavailable, a removal may be unknown")
	confirm()
	f.ExpireRegistrations(clock.Now())
	require.Equal(t, map[string]verbenastand.ServerState{"a": verbenastand.ServerActive}, states(f))
}

// loseSeconds makes the store lose a new table, a drain and a departure.
func (f *fleet) loseSeconds(meanwhile func()) {
	f.writeServer("left", 1, verbenastand.ServerActive)
	f.writeServer("draining", 1, verbenastand.ServerActive)
	f.writeServer("b", 1, verbenastand.ServerActive)
	f.writeTable(2)
	time.Sleep(time.Second)
	copied := f.store.newestRevision()
	meanwhile()
	f.writeTable(3)
	f.writeServer("draining", 2, verbenastand.ServerDraining)
	f.leave()
	time.Sleep(time.Second)
	f.store.restore(copied)
}

var afterLostSeconds = map[string]verbenastand.ServerState{"b": verbenastand.ServerActive, "draining": verbenastand.ServerDraining}

// TestAHostThatMissedTheLostSeconds: a host learns from the store what the copy holds, and
// must learn from its peers what they know beyond that: it was cut off in the lost
// seconds, or starts after the return and reaches no seed host.
func TestAHostThatMissedTheLostSeconds(t *testing.T) {
	role := map[string]func(f *fleet) verbenastand.HostID{
		"a reader": func(f *fleet) verbenastand.HostID { return f.readers()[0] },
		"another":  func(f *fleet) verbenastand.HostID { return f.hostOfRank(5) },
	}
	cases := []struct {
		name string
		size int
		role string
		// lose makes the host miss the lost seconds.
		lose func(f *fleet, id verbenastand.HostID)
	}{
		{"a reader is cut off", 14, "a reader", loseWhileCut},
		{"another host is cut off", 14, "another", loseWhileCut},
		{"another host of many is cut off", 56, "another", loseWhileCut},
		{"a reader starts without seeds", 14, "a reader", loseAndStart},
		{"another host starts without seeds", 14, "another", loseAndStart},
		{"a reader of many starts without seeds", 56, "a reader", loseAndStart},
		{"another host of many starts without seeds", 56, "another", loseAndStart},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runInFleet(t, tc.size, func(f *fleet) {
				tc.lose(f, role[tc.role](f))
				time.Sleep(3 * time.Second)
				f.requireVersion(t, 3)
				f.requireStates(t, afterLostSeconds)
				f.writeTable(3)
				f.writeTable(4)
				time.Sleep(settling)
				f.requireVersion(t, 4)
				for id, member := range f.followers {
					require.Less(t, member.Staleness(), 2*time.Second, "host %s", id)
				}
			})
		})
	}
}

func loseWhileCut(f *fleet, id verbenastand.HostID) {
	f.loseSeconds(func() { f.cut(id, true) })
	time.Sleep(time.Second)
	f.cut(id, false)
}

func loseAndStart(f *fleet, id verbenastand.HostID) {
	f.loseSeconds(func() {})
	time.Sleep(time.Second)
	f.restart(id, nil)
}

// TestManyHostsStartAfterTheReturn: all but one host start again after the store has
// returned, so that only one knows what the copy lacks.
func TestManyHostsStartAfterTheReturn(t *testing.T) {
	runInFleet(t, 14, func(f *fleet) {
		f.loseSeconds(func() {})
		survivor := f.hostOfRank(7)
		for _, h := range f.hosts {
			if h.ID() != survivor {
				f.restart(h.ID(), f.hosts[:2])
			}
		}
		time.Sleep(3 * time.Second)
		f.requireVersion(t, 3)
		f.requireStates(t, afterLostSeconds)
	})
}

// TestAStoreThatAnswersFromAnEarlierEraConfirmsNothing: a cheap call may be answered by a
// part of the store that has not returned yet.
func TestAStoreThatAnswersFromAnEarlierEraConfirmsNothing(t *testing.T) {
	f := newFleet(1)
	f.store.restore(1)
	member := f.followers["h0"]
	after := verbenastand.Position{Era: 2, Revision: 3}
	member.apply(batch{full: true, era: after.Era, revision: after.Revision, changes: []verbenastand.Change{table(3, 1)}})
	_, err := member.checkPosition(t.Context(), after)
	require.ErrorIs(t, err, errEarlierEra)
	require.Equal(t, unknownStaleness, member.Staleness())
}

// TestTheStoreReturnsForSomeHostsOnly: after its return the store still refuses some
// hosts, among them those that usually read it.
func TestTheStoreReturnsForSomeHostsOnly(t *testing.T) {
	cases := []struct {
		name    string
		refused func(f *fleet, id verbenastand.HostID) bool
	}{
		{"not for the readers", func(f *fleet, id verbenastand.HostID) bool { return slices.Contains(f.readers(), id) }},
		{"for one host only", func(f *fleet, id verbenastand.HostID) bool { return id != f.hostOfRank(9) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runInFleet(t, 14, func(f *fleet) {
				f.loseSeconds(func() {})
				for _, h := range f.hosts {
					refused := tc.refused(f, h.ID())
					f.store.mu.Lock()
					f.store.down[h.ID()] = refused
					f.store.mu.Unlock()
				}
				time.Sleep(3 * time.Second)
				f.requireVersion(t, 3)
				f.requireStates(t, afterLostSeconds)
				f.writeTable(3)
				f.writeTable(4)
				f.writeServer("late", 1, verbenastand.ServerActive)
				time.Sleep(2 * time.Second)
				f.requireVersion(t, 4)
				require.Equal(t, 14, f.hostsWithServer("late"))
			})
		})
	}
}
