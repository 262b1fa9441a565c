package follower

import (
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

func (f *fleet) removeServer(id string) {
	f.store.write(func(r verbenastand.Revision) verbenastand.Change { return removed(id, r) })
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
