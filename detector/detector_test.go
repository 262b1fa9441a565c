package detector

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// fakeNetwork is what a host reaches.
type fakeNetwork struct {
	mu      sync.Mutex
	view    *verbenastand.View
	reached map[verbenastand.ServerID]bool
	// hang makes servers that are not reached time out instead of refusing.
	hang    bool
	probes  int
	changes []Change
}

func newFakeNetwork(servers map[verbenastand.ServiceName]int) *fakeNetwork {
	n := &fakeNetwork{reached: make(map[verbenastand.ServerID]bool)}
	c := verbenastand.ViewConfig{Servers: make(map[verbenastand.ServiceName][]verbenastand.Registration)}
	for service, count := range servers {
		for i := range count {
			r := verbenastand.NewRegistration(verbenastand.RegistrationConfig{
				Server: verbenastand.ServerID(fmt.Sprintf("%s%d", service, i)), Service: service, Slots: 6,
			})
			c.Servers[service] = append(c.Servers[service], r)
			n.reached[r.Server()] = true
		}
	}
	n.view = verbenastand.NewView(c)
	return n
}

func (n *fakeNetwork) detector() *Detector {
	return NewDetector(Config{
		Clock: wallClock{}, View: func() *verbenastand.View { return n.view }, Probe: n.probe,
		OnChange: func(c Change) { n.changes = append(n.changes, c) },
	})
}

func (n *fakeNetwork) probe(ctx context.Context, r verbenastand.Registration) error {
	n.mu.Lock()
	n.probes++
	reached, hang := n.reached[r.Server()], n.hang
	n.mu.Unlock()
	if !reached && hang {
		<-ctx.Done()
		return ctx.Err()
	}
	if !reached {
		return errors.New("refused")
	}
	time.Sleep(time.Millisecond)
	return nil
}

func (n *fakeNetwork) probeCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.probes
}

// cut changes whether the servers of a service are reached, of all services if it is
// empty.
func (n *fakeNetwork) cut(service verbenastand.ServiceName, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range n.view.ServiceNames() {
		for _, r := range n.view.Servers(name) {
			if service == "" || name == service {
				n.reached[r.Server()] = !cut
			}
		}
	}
}

func (n *fakeNetwork) server(service verbenastand.ServiceName, i int) verbenastand.Registration {
	return n.view.Servers(service)[i]
}

func tick(d *Detector, length time.Duration) {
	for range int(length / (100 * time.Millisecond)) {
		d.Tick(time.Now())
		time.Sleep(100 * time.Millisecond)
	}
}

// TestAPartitionIsDetected: within a second, by two failures of one service, for all
// services; its end within a second and a half.
func TestAPartitionIsDetected(t *testing.T) {
	for _, hang := range []bool{false, true} {
		t.Run(fmt.Sprint("hang ", hang), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newFakeNetwork(map[verbenastand.ServiceName]int{"a": 12, "b": 8, "c": 1})
				n.hang = hang
				d := n.detector()
				n.cut("", true)
				d.Failed(n.server("a", 0))
				time.Sleep(time.Second)
				require.False(t, d.Cut("a"), "one server alone may have failed")
				d.Failed(n.server("a", 1))
				require.True(t, d.Unreached(t.Context(), "a"), "waits for the probes")
				time.Sleep(time.Second)
				require.True(t, d.Cut("a"))
				require.True(t, d.Cut("b"))
				require.True(t, d.Detached())
				tick(d, 5*time.Second)
				require.True(t, d.Detached())
				n.cut("", false)
				tick(d, 1500*time.Millisecond)
				require.False(t, d.Detached())
				require.False(t, d.Cut("a"))
				for _, c := range n.changes {
					require.Equal(t, c.Reached, c.Silent)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

func TestOneServiceIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newFakeNetwork(map[verbenastand.ServiceName]int{"a": 12, "b": 8})
		d := n.detector()
		n.cut("b", true)
		d.Failed(n.server("b", 0))
		d.Failed(n.server("b", 1))
		time.Sleep(time.Second)
		require.True(t, d.Cut("b"))
		require.False(t, d.Cut("a"))
		require.False(t, d.Detached())
	})
}

// TestFailedServersAreNoPartition: some servers of a service are down. Few probes follow.
func TestFailedServersAreNoPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newFakeNetwork(map[verbenastand.ServiceName]int{"a": 12})
		d := n.detector()
		for i := range 3 {
			n.reached[n.server("a", i).Server()] = false
		}
		for i := range 100 {
			d.Failed(n.server("a", i%3))
			time.Sleep(50 * time.Millisecond)
		}
		require.False(t, d.Cut("a"))
		require.Empty(t, n.changes)
		require.LessOrEqual(t, n.probeCount(), 2*6, "two probes each second")
	})
}

// TestServersThatRefuseNewConnectionsAndServeAreNoPartition: servers near their limits
// reset new connections while those that are open serve.
func TestServersThatRefuseNewConnectionsAndServeAreNoPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newFakeNetwork(map[verbenastand.ServiceName]int{"a": 12})
		d := n.detector()
		n.cut("a", true)
		for i := range 40 {
			d.Failed(n.server("a", i%12))
			d.Responded(n.server("a", (i+1)%12), false)
			d.Tick(time.Now())
			time.Sleep(100 * time.Millisecond)
			require.False(t, d.Cut("a"))
		}
		require.True(t, d.Unreached(t.Context(), "a"))
		n.cut("a", false)
		d.Responded(n.server("a", 0), false)
		d.Responded(n.server("a", 1), true)
		require.False(t, d.Unreached(t.Context(), "a"))
		require.False(t, n.changes[len(n.changes)-1].Silent, "connections that serve stay open")
		time.Sleep(time.Second)
	})
}

func TestAHostWithoutServersIsNotDetached(t *testing.T) {
	d := newFakeNetwork(nil).detector()
	require.False(t, d.Detached())
	require.False(t, d.Cut("a"))
}

// TestReachesOthers: a server that fails alone has failed; if no other one responds, the
// host may be cut off, unless the service is so small that all may have failed.
func TestReachesOthers(t *testing.T) {
	cases := []struct {
		name     string
		servers  map[verbenastand.ServiceName]int
		cut      verbenastand.ServiceName
		all      bool
		reaching bool
	}{
		{"others of the service respond", map[verbenastand.ServiceName]int{"a": 8, "b": 8}, "", false, true},
		{"none responds", map[verbenastand.ServiceName]int{"a": 8, "b": 8}, "", true, false},
		{"none of the service responds", map[verbenastand.ServiceName]int{"a": 8, "b": 8}, "a", true, false},
		{"none of a small service responds", map[verbenastand.ServiceName]int{"a": 2, "b": 8}, "a", true, true},
		{"the only server", map[verbenastand.ServiceName]int{"a": 1}, "", false, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			n := newFakeNetwork(tc.servers)
			failed := n.server("a", 0)
			n.reached[failed.Server()] = false
			if tc.all {
				n.cut(tc.cut, true)
			}
			require.Equal(t, tc.reaching, n.detector().ReachesOthers(failed))
		})
	}
}

// excludes is a ServerExcluder that excludes some servers.
type excludes map[verbenastand.ServerID]bool

// Exclusion implements verbenastand.ServerExcluder.
func (e excludes) Exclusion(p verbenastand.ServerProcess) (verbenastand.Exclusion, bool) {
	return verbenastand.Exclusion{Leaving: true}, e[p.Server]
}

// Checks that servers that want no requests are not probed while there are others.
func TestExcludedServersAreNotProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newFakeNetwork(map[verbenastand.ServiceName]int{"a": 4})
		excluded := excludes{}
		probed := make(map[verbenastand.ServerID]bool)
		var mu sync.Mutex
		d := NewDetector(Config{
			Clock: wallClock{}, View: func() *verbenastand.View { return n.view }, OnChange: func(Change) {}, Excluder: excluded,
			Probe: func(_ context.Context, r verbenastand.Registration) error {
				mu.Lock()
				defer mu.Unlock()
				probed[r.Server()] = true
				return nil
			},
		})
		for i := range 3 {
			excluded[n.server("a", i).Server()] = true
		}
		for range 20 {
			require.True(t, d.ReachesOthers(n.server("a", 0)))
			d.Failed(n.server("a", 0))
			d.Failed(n.server("a", 1))
			time.Sleep(2 * time.Second)
		}
		synctest.Wait()
		require.Equal(t, map[verbenastand.ServerID]bool{n.server("a", 3).Server(): true}, probed)
		excluded[n.server("a", 3).Server()] = true
		require.True(t, d.ReachesOthers(n.server("a", 0)), "there are no others")
	})
}

// Guards against a host that takes a service for unreached although a server is up, because it
// probes the same servers again (issue 29, BUDGET).
func TestAllServersOfAnUnreachedServiceAreProbedInTurn(t *testing.T) {
	const servers = 12
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			n := newFakeNetwork(map[verbenastand.ServiceName]int{"a": servers})
			d := n.detector()
			n.cut("a", true)
			d.Failed(n.server("a", 0))
			d.Failed(n.server("a", 1))
			time.Sleep(3 * probeTimeout)
			require.True(t, d.Cut("a"))
			n.reached[n.server("a", 7).Server()] = true
			const rounds = 2
			for range rounds * servers / firstProbes {
				for range (maxRetry + probeTimeout) / (100 * time.Millisecond) {
					d.Tick(time.Now())
					time.Sleep(100 * time.Millisecond)
				}
			}
			require.False(t, d.Unreached(t.Context(), "a"))
		})
	}
}
