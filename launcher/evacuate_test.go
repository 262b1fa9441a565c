package launcher

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/follower"
	"github.com/verbenastand/verbenastand/internal/fake"
	"github.com/verbenastand/verbenastand/sender"
)

// fixedStore is a store whose objects do not change.
type fixedStore []verbenastand.Change

// List implements verbenastand.ConfigurationStore.
func (s fixedStore) List(context.Context, bool, func(verbenastand.Part)) (verbenastand.Snapshot, error) {
	return verbenastand.Snapshot{Changes: s, Position: verbenastand.Position{Revision: 9}}, nil
}

// NewestPosition implements verbenastand.ConfigurationStore.
func (fixedStore) NewestPosition(context.Context) (verbenastand.Position, error) {
	return verbenastand.Position{Revision: 9}, nil
}

// Watch implements verbenastand.ConfigurationStore.
func (fixedStore) Watch(context.Context, verbenastand.Revision, time.Duration) ([]verbenastand.Change, verbenastand.Position, error) {
	return nil, verbenastand.Position{Revision: 9}, nil
}

// Guards against idle connections to the servers of an evacuated zone that stay open as long as the
// evacuation lasts.
func TestConnectionsToAnEvacuatedZoneAreNotKept(t *testing.T) {
	store := fixedStore{{Key: "evacuate/z1", Revision: 1, Evacuated: "z1"}}
	var targets []sender.Target
	for _, zone := range []verbenastand.Zone{"z1", "z2"} {
		r := verbenastand.NewRegistration(verbenastand.RegistrationConfig{
			Server: verbenastand.ServerID(zone), Service: "s", Zone: zone, Address: "10.0.0.1:80", Slots: 6, StartTime: 1,
		})
		store = append(store, verbenastand.Change{Key: string(zone), Revision: 2, Registration: &r})
		targets = append(targets, sender.Target{Server: r.Server(), Address: r.Address(), StartTime: r.StartTime()})
	}
	g := &Gateway{follower: follower.NewFollower(follower.Config{
		Clock: fake.NewClock(), Store: store, OnView: func(*verbenastand.View) {},
	})}
	g.follower.Bootstrap(t.Context(), nil)
	known := g.knownTargets()
	require.False(t, known(targets[0]))
	require.True(t, known(targets[1]))
}
