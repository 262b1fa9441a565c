package follower

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
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
