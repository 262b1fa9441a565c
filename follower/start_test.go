package follower

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

// partStore lists its objects in parts and waits before each one but the first.
type partStore struct {
	verbenastand.ConfigurationStore
	parts []verbenastand.Part
	last  verbenastand.Snapshot
	// next is received from before each part but the first, and before the end of the list.
	next chan struct{}
	// errs are the errors with which the first lists end; later ones are complete.
	errs []error
}

func (s *partStore) List(ctx context.Context, _ bool, onPart func(verbenastand.Part)) (verbenastand.Snapshot, error) {
	for _, p := range s.parts {
		if onPart != nil {
			onPart(p)
		}
		select {
		case <-s.next:
		case <-ctx.Done():
			return verbenastand.Snapshot{}, ctx.Err()
		}
	}
	if len(s.errs) > 0 {
		err := s.errs[0]
		s.errs = s.errs[1:]
		return verbenastand.Snapshot{}, err
	}
	return s.last, nil
}

// servers returns the registrations of servers in a zone.
func servers(service verbenastand.ServiceName, zone verbenastand.Zone, first, last int) (changes []verbenastand.Change) {
	for i := first; i <= last; i++ {
		changes = append(changes, registered(fmt.Sprintf("%s-%s-%d", service, zone, i), verbenastand.Revision(10+i), func(c *verbenastand.RegistrationConfig) {
			c.Service, c.Zone = service, zone
		}))
	}
	return changes
}

func startingHost() verbenastand.Host {
	return verbenastand.NewHost(verbenastand.HostConfig{Instance: verbenastand.NewInstance("self", 1), Zone: "z"})
}

// Guards against hosts that serve requests before they know the routes, all evacuations and enough
// servers, and against hosts that refuse them although they do.
func TestAHostServesOnceItKnowsEnoughOfAList(t *testing.T) {
	cases := []struct {
		name  string
		parts []verbenastand.Part
		want  bool
	}{
		{"enough servers", []verbenastand.Part{{Changes: append(servers("s", "z", 1, 4), table(2, 1)), First: true, Routing: true}}, true},
		{"enough servers in two parts", []verbenastand.Part{
			{Changes: append(servers("s", "z", 1, 2), table(2, 1)), First: true, Routing: true}, {Changes: servers("s", "z", 3, 4), Routing: true},
		}, true},
		{"too few servers", []verbenastand.Part{{Changes: append(servers("s", "z", 1, 3), table(2, 1)), First: true, Routing: true}}, false},
		{"servers of another service", []verbenastand.Part{{Changes: append(servers("t", "z", 1, 9), table(2, 1)), First: true, Routing: true}}, false},
		{"servers of another zone", []verbenastand.Part{{Changes: append(servers("s", "y", 1, 9), table(2, 1)), First: true, Routing: true}}, false},
		{"no table", []verbenastand.Part{{Changes: servers("s", "z", 1, 9), First: true, Routing: true}}, false},
		{"evacuations may follow", []verbenastand.Part{{Changes: append(servers("s", "z", 1, 9), table(2, 1)), First: true}}, false},
		{"the zone is evacuated", []verbenastand.Part{{Changes: append(servers("s", "z", 1, 9), table(2, 1), evacuated("z", 3)), First: true, Routing: true}}, false},
		{"another zone is evacuated", []verbenastand.Part{{Changes: append(servers("s", "z", 1, 9), table(2, 1), evacuated("y", 3)), First: true, Routing: true}}, true},
		{"a list that failed, then another one", []verbenastand.Part{
			{Changes: append(servers("s", "z", 1, 3), table(2, 1)), First: true, Routing: true}, {Changes: []verbenastand.Change{table(2, 1)}, First: true},
		}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var views []*verbenastand.View
			f := NewFollower(Config{Clock: fake.NewClock(), Self: startingHost(), OnView: func(v *verbenastand.View) { views = append(views, v) }})
			for _, p := range tc.parts {
				f.applyPart(p)
			}
			require.Equal(t, tc.want, f.Serviceable())
			require.Equal(t, tc.want, f.HasRouteTable(), "a table in use without the evacuations")
			require.Equal(t, tc.want, len(views) > 0)
			require.Zero(t, f.Position(), "a host that knows a part of the objects has no position")
			require.Equal(t, unknownStaleness, f.Staleness())
			b := f.changesSince(verbenastand.Position{})
			require.Empty(t, b.changes, "a part must not be sent to a peer as all objects")
			f.applyProvisional(verbenastand.Snapshot{Changes: []verbenastand.Change{table(2, 1)}, Position: verbenastand.Position{Revision: 40}})
			require.True(t, f.Serviceable(), "the list is complete")
			require.Empty(t, f.View().Servers("s"), "servers that have left meanwhile")
		})
	}
}

// Guards against evacuations that are left out because there are too many keys: which ones count
// depends on the servers.
func TestTooManyEvacuationsNeedTheWholeList(t *testing.T) {
	f := NewFollower(Config{Clock: fake.NewClock(), Self: startingHost(), OnView: func(*verbenastand.View) {}})
	changes := append(servers("s", "z", 1, 9), table(2, 1))
	for i := range maxEvacuations {
		changes = append(changes, evacuated(fmt.Sprint("unused-", i), verbenastand.Revision(100+i)))
	}
	changes = append(changes, evacuated("z", 5000))
	f.applyPart(verbenastand.Part{Changes: changes, First: true, Routing: true})
	require.False(t, f.Serviceable())
	f.applyProvisional(verbenastand.Snapshot{Changes: changes, Position: verbenastand.Position{Revision: 6000, Era: 1}})
	require.True(t, f.Serviceable())
	require.True(t, f.View().Evacuated("z"))
}

// Guards against what a list shows of an earlier era after the store has returned from an older
// copy, and against a peer's state that is taken for older than a part.
func TestACompleteStateReplacesParts(t *testing.T) {
	parts := []verbenastand.Part{{Changes: append(servers("s", "z", 1, 4), table(30, 9)), First: true, Routing: true}}
	for _, era := range []verbenastand.Era{0, 2} {
		f := NewFollower(Config{Clock: fake.NewClock(), Self: startingHost(), OnView: func(*verbenastand.View) {}})
		f.applyPart(parts[0])
		require.True(t, f.Serviceable())
		complete := append(servers("s", "z", 2, 3), table(30, 9))
		require.True(t, f.apply(batch{changes: complete, full: true, era: era, revision: 31, confirmedAt: f.config.Clock.Now()}))
		require.Len(t, f.View().Servers("s"), 2)
		require.Equal(t, verbenastand.Position{Era: era, Revision: 31}, f.Position())
		f.applyPart(parts[0])
		require.Len(t, f.View().Servers("s"), 2, "a part that arrives later changes nothing")
	}
}

// Guards against hosts that wait for the end of a list of which they know enough, that give it up,
// or that read the store again meanwhile.
func TestTheFirstListIsCompletedAfterTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &partStore{
			parts: []verbenastand.Part{{Changes: append(servers("s", "z", 1, 4), table(2, 1)), First: true, Routing: true}},
			last:  verbenastand.Snapshot{Changes: append(servers("s", "z", 1, 40), table(2, 1)), Position: verbenastand.Position{Revision: 99}},
			next:  make(chan struct{}),
		}
		self := startingHost()
		f := NewFollower(Config{
			Clock: wallClock{}, Store: store, Self: self, Membership: &fleet{hosts: []verbenastand.Host{self}}, OnView: func(*verbenastand.View) {},
		})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		f.Bootstrap(ctx, nil)
		cancel()
		require.True(t, f.Serviceable())
		require.Len(t, f.View().Servers("s"), 4)
		store.next <- struct{}{}
		synctest.Wait()
		require.Len(t, f.View().Servers("s"), 40)
		require.EqualValues(t, 99, f.Position().Revision)
	})
}

// Guards against a host that stops to read the store because its first list fails after a part.
func TestAListThatFailsAfterAPartIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &partStore{
			parts: []verbenastand.Part{{Changes: append(servers("s", "z", 1, 4), table(2, 1)), First: true, Routing: true}},
			last:  verbenastand.Snapshot{Changes: append(servers("s", "z", 3, 6), table(2, 1)), Position: verbenastand.Position{Revision: 99}},
			next:  make(chan struct{}), errs: []error{errors.New("the connection was lost")},
		}
		f := NewFollower(Config{Clock: wallClock{}, Store: store, Self: startingHost(), OnView: func(*verbenastand.View) {}})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		f.Bootstrap(ctx, nil)
		cancel()
		require.True(t, f.Serviceable())
		store.next <- struct{}{}
		time.Sleep(2 * minBackoff)
		store.next <- struct{}{}
		synctest.Wait()
		require.Equal(t, map[string]verbenastand.ServerState{"s-z-3": 0, "s-z-4": 0, "s-z-5": 0, "s-z-6": 0}, states(f))
	})
}
