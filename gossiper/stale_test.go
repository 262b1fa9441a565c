package gossiper

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/resolver"
)

const (
	// namedFor is how long a failed host may be named to callers.
	namedFor = 6 * time.Second
	// staleHostAge, and the times of gossip messages, are those of gateway hosts.
	staleHostAge   = 2 * time.Second
	gatewayPeriod  = 300 * time.Millisecond
	gatewayLife    = 3 * time.Second
	gatewayPerHost = 20 * time.Millisecond
)

// zonedFleet is a fleet whose hosts send their heartbeats at different moments.
type zonedFleet struct {
	net   *network
	nodes []*node
	// phase is when in the period each host sends its heartbeat.
	phase []int
	step  int
}

const (
	fleetStep      = 50 * time.Millisecond
	stepsPerPeriod = int(gatewayPeriod / fleetStep)
)

func newZonedFleet(zones ...int) *zonedFleet {
	f := &zonedFleet{}
	f.net, f.nodes = newNetwork(0)
	for zone, size := range zones {
		for range size {
			n := f.net.add(len(f.nodes), 3)
			n.config.Neighbours, n.config.Lifetime, n.config.LifetimePerHost = 8, gatewayLife, gatewayPerHost
			n.config.Self = verbenastand.NewHost(verbenastand.HostConfig{
				Instance: n.config.Self.Instance(), Zone: verbenastand.Zone(fmt.Sprint("zone-", zone)),
				PeerAddress: n.address, CallAddress: string(n.config.Self.ID()),
			})
			n.self = recordOf(n.config.Self)
			n.view.Store(&[]verbenastand.Host{n.config.Self})
			f.nodes = append(f.nodes, n)
			f.phase = append(f.phase, f.net.random.IntN(stepsPerPeriod))
		}
	}
	introduce(f.nodes)
	return f
}

// run lets time pass, and calls each after every step unless it is nil.
func (f *zonedFleet) run(d time.Duration, each func()) {
	for range int(d / fleetStep) {
		f.net.clock.Advance(fleetStep)
		f.step++
		for i, n := range f.nodes {
			if n.failed || f.step%stepsPerPeriod != f.phase[i] {
				continue
			}
			for _, target := range n.advanceHeartbeat() {
				n.exchange(context.Background(), target)
			}
		}
		if each != nil {
			each()
		}
	}
}

// resolverOf returns a resolver of a host while zone-0 is evacuated.
func resolverOf(n *node) *resolver.Resolver {
	return resolver.NewResolver(resolver.Config{
		Membership: n, Self: n.config.Self, Serving: func() bool { return true }, Validity: time.Second,
		Evacuated: func(z verbenastand.Zone) bool { return z == "zone-0" },
		Stale:     func() map[verbenastand.HostID]bool { return n.Stale(staleHostAge) },
	})
}

// Guards against callers of an evacuated zone that are directed to failed hosts of other zones for
// longer than allowed, and against live hosts that are left out.
func TestFailedHostsAreNotNamedToCallersOfAnEvacuatedZone(t *testing.T) {
	cases := []struct {
		name  string
		zones []int
		fails func(i int) bool
		loss  float64
	}{
		{"single hosts of 123, 10% loss", []int{38, 37, 48}, func(i int) bool { return i >= 38 && i%15 == 0 }, 0.1},
		{"a zone of 123", []int{38, 37, 48}, func(i int) bool { return i >= 75 }, 0},
		{"single hosts of 38", []int{13, 13, 12}, func(i int) bool { return i >= 13 && i%8 == 0 }, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newZonedFleet(tc.zones...)
			f.net.loss = tc.loss
			f.run(10*time.Second, nil)
			resolvers := make(map[*node]*resolver.Resolver)
			for _, n := range f.nodes {
				resolvers[n] = resolverOf(n)
			}
			missing, lookups := 0, 0
			f.run(2*time.Second, func() {
				for _, n := range f.nodes {
					addresses, _ := resolvers[n].Resolve("zone-0", "")
					lookups += len(f.nodes) - tc.zones[0]
					missing += len(f.nodes) - tc.zones[0] - len(addresses)
				}
			})
			failed := make(map[string]bool)
			for i, n := range f.nodes {
				if tc.fails(i) {
					n.failed = true
					failed[string(n.config.Self.ID())] = true
				}
			}
			failedAt := f.net.clock.Now()
			var named, alive time.Duration
			f.run(namedFor+4*time.Second, func() {
				since := f.net.clock.Now().Sub(failedAt)
				for _, n := range f.nodes {
					if n.failed {
						continue
					}
					addresses, _ := resolvers[n].Resolve("zone-0", "")
					for _, a := range addresses {
						if failed[a] {
							named = since
						}
					}
					for _, h := range n.Hosts() {
						if failed[string(h.ID())] {
							alive = since
						}
					}
				}
			})
			left := float64(missing) / float64(lookups)
			t.Logf("%d failed hosts named for %v, considered alive for %v; live hosts left out %.5f", len(failed), named, alive, left)
			require.LessOrEqual(t, named, namedFor)
			require.Less(t, left, 0.01)
		})
	}
}

// Guards against hosts that count as stale because this one was paused or is cut off.
func TestNoHostIsStaleToAHostWithoutHeartbeats(t *testing.T) {
	net, nodes := newNetwork(3)
	introduce(nodes)
	net.clock.Advance(staleHostAge)
	require.Empty(t, nodes[0].Stale(staleHostAge))
	nodes[1].advanceHeartbeat()
	nodes[1].exchange(t.Context(), nodes[0].config.Self)
	require.Equal(t, map[verbenastand.HostID]bool{"host-2": true}, nodes[0].Stale(staleHostAge))
	require.Empty(t, nodes[0].Stale(staleHostAge+time.Millisecond))
}
