package follower

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

func TestAFleetFollowsWithFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer stopFleet(cancel)
		f := newFleet(14)
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return table(r, 1) })
		f.run(ctx)
		time.Sleep(time.Second)
		for i := range 20 {
			id := fmt.Sprintf("s%d", i)
			f.store.write(func(r verbenastand.Revision) verbenastand.Change { return registered(id, r, nil) })
			time.Sleep(500 * time.Millisecond)
			require.Equal(t, 14, f.hostsWithServer(id))
		}
		time.Sleep(30 * time.Second)
		// Two readers, one call every two seconds and one for each change, and one list
		// per host at start.
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		require.Less(t, f.store.calls, 14+2*(21+20))
		require.Less(t, f.store.cheapCalls, 2*50)
		require.Len(t, f.readers(), 2)
	})
}

// TestHostsThatStartTogetherDoNotAllRead: when all hosts start at once, as after a
// power failure, none of them knows the others at first.
func TestHostsThatStartTogetherDoNotAllRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer stopFleet(cancel)
		f := newFleet(14)
		for _, h := range f.hosts {
			f.followers[h.ID()].config.Membership = delayedMembership{f, []verbenastand.Host{h}, time.Now().Add(300 * time.Millisecond)}
		}
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return table(r, 1) })
		f.run(ctx)
		time.Sleep(3 * time.Second)
		// One list at start for each host, and two calls of each reader.
		require.LessOrEqual(t, f.store.callCount(), 14+2*2)
		for _, member := range f.followers {
			require.Less(t, member.Staleness(), 2*time.Second)
		}
	})
}

func TestAHostWithoutPeersReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer stopFleet(cancel)
		f := newFleet(1)
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return table(r, 1) })
		f.run(ctx)
		time.Sleep(5 * time.Second)
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return registered("new", r, nil) })
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 1, f.hostsWithServer("new"))
	})
}

func TestChangesReachAllHostsWithinTheBound(t *testing.T) {
	const bound = 2 * time.Second // The operators' bound for drains and for tables.
	// settling is the time after a disturbance of the store during which the operators
	// set no bound.
	const settling = 3 * time.Second
	cases := []struct {
		name   string
		change func(f *fleet)
		bound  time.Duration
	}{
		{"a reader is partitioned", func(f *fleet) { f.partitioned[f.readers()[0]] = true; f.store.down[f.readers()[0]] = true }, bound},
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
		{"the watches stall", func(f *fleet) { f.store.stalledCalls = f.store.calls }, bound},
		{"the watches stall, and cheap calls return an old revision", func(f *fleet) {
			f.store.stalledCalls, f.store.staleRevision = f.store.calls, f.store.revision
		}, settling},
		{"the history is discarded", func(f *fleet) { f.store.compactedUntil = f.store.revision + 1 }, bound},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runInFleet(t, 14, func(f *fleet) {
				f.mu.Lock()
				f.store.mu.Lock()
				tc.change(f)
				partitioned := len(f.partitioned)
				f.store.mu.Unlock()
				f.mu.Unlock()
				f.store.write(func(r verbenastand.Revision) verbenastand.Change { return registered("new", r, nil) })
				time.Sleep(tc.bound)
				require.GreaterOrEqual(t, f.hostsWithServer("new"), 14-partitioned)
			})
		})
	}
}

// TestLargeFleetRelaysThroughZones: few messages may cross between zones, and the
// loss of a host that forwards changes must not delay them.
func TestLargeFleetRelaysThroughZones(t *testing.T) {
	const size = 99
	runInFleet(t, size, func(f *fleet) {
		f.mu.Lock()
		f.crossZone = 0
		f.mu.Unlock()
		const changes = 20
		for i := range changes {
			id := fmt.Sprintf("s%d", i)
			f.store.write(func(r verbenastand.Revision) verbenastand.Change { return registered(id, r, nil) })
			time.Sleep(500 * time.Millisecond)
			require.Equal(t, size, f.hostsWithServer(id))
		}
		f.mu.Lock()
		// Each of the two readers sends to two other zones, for each change and each
		// check; a repeated message for each leaves a margin.
		require.Less(t, f.crossZone, 2*2*2*(changes+2*changes))
		f.partitioned[f.hostOfRank(0)] = true
		f.mu.Unlock()
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return registered("late", r, nil) })
		time.Sleep(2 * time.Second)
		require.GreaterOrEqual(t, f.hostsWithServer("late"), size-1)
	})
}

// TestFewHostsReadWhileTheReadersArePartitioned: the readers reach the store but
// no peer, as in a network partition. The hosts that read in their place must send
// their confirmations to the others at once; otherwise many hosts read the store.
func TestFewHostsReadWhileTheReadersArePartitioned(t *testing.T) {
	const size = 99
	runInFleet(t, size, func(f *fleet) {
		f.mu.Lock()
		f.store.mu.Lock()
		before := f.store.calls
		for _, id := range f.readers() {
			f.partitioned[id] = true
		}
		f.store.mu.Unlock()
		f.mu.Unlock()
		const partitionTime = 12 * time.Second
		time.Sleep(partitionTime)
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		// One call every two seconds from both readers and from four hosts in their place.
		require.Less(t, f.store.calls-before, 6*int(partitionTime/(2*time.Second)))
		stale := 0
		for _, member := range f.followers {
			if member.Staleness() > 2*time.Second {
				stale++
			}
		}
		require.Zero(t, stale)
	})
}

// TestLargeFleetRecoversFromStoreCompaction: the store discards its history, its
// watches stall and its revision checks return an old revision for a second, as
// during a leader election. The list of all objects of a large deployment is then
// many times what a slow link carries in time if one host sends it to all others.
func TestLargeFleetRecoversFromStoreCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer stopFleet(cancel)
		const size = 129
		f := newFleet(size)
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return table(r, 1) })
		for i := range 421 {
			f.store.write(func(r verbenastand.Revision) verbenastand.Change {
				return registered(fmt.Sprintf("i-%010x", i*2654435761), r, func(c *verbenastand.RegistrationConfig) {
					c.Address, c.StartTime = fmt.Sprintf("10.%d.%d.%d:8480", i%4, i/200, i%200), int64(i)*2654435761
				})
			})
		}
		f.run(ctx)
		time.Sleep(10 * time.Second)
		f.mu.Lock()
		// Requests of callers take three quarters of a 10 Mbit/s link.
		f.linkBytesPerSecond = 10_000_000 / 8 / 4
		f.mu.Unlock()
		f.store.mu.Lock()
		f.store.staleRevision = f.store.revision
		f.store.stalledCalls = f.store.calls
		f.store.compactedUntil = f.store.revision + 1
		f.store.mu.Unlock()
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return largeTable(r, 60) })
		calls := f.store.callCount()
		time.Sleep(time.Second)
		f.store.mu.Lock()
		f.store.staleRevision = 0
		f.store.mu.Unlock()
		time.Sleep(2500 * time.Millisecond)
		behind := 0
		for _, member := range f.followers {
			if member.View().Table().Version() != 2 {
				behind++
			}
		}
		require.Zero(t, behind)
		require.Less(t, f.store.callCount()-calls, size)
	})
}

// TestAnOutageOfTheStoreCostsFewCalls: the store refuses all calls for eight
// seconds. Refused calls are billed as well; all hosts must be up to date soon
// after the outage.
func TestAnOutageOfTheStoreCostsFewCalls(t *testing.T) {
	runInFleet(t, 14, func(f *fleet) {
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
		// The operators pay for 250 calls a day, of which a day without an outage uses
		// 150.
		require.Less(t, outage(false)-before, 100)
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return registered("new", r, nil) })
		time.Sleep(2 * time.Second)
		require.Equal(t, 14, f.hostsWithServer("new"))
	})
}

// TestLargeTableOverSlowLinks: a table of 1,480 routes must be in effect on 129
// hosts with 10 Mbit/s links within the operators' bound of 2.5 s.
func TestLargeTableOverSlowLinks(t *testing.T) {
	cases := []struct {
		name    string
		disturb func(f *fleet)
	}{
		{"no disturbance", func(*fleet) {}},
		{"cheap calls are delayed as well", func(f *fleet) { f.store.newestDelay = 500 * time.Millisecond }},
		{"a host that forwards messages is partitioned", func(f *fleet) { f.partitioned[f.hostOfRank(0)] = true }},
		{"a reader is partitioned", func(f *fleet) { f.partitioned[f.readers()[0]], f.store.down[f.readers()[0]] = true, true }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			testLargeTable(t, fullLink, 800*time.Millisecond, tc.disturb)
		})
	}
}

// Guards against hosts that wait for the next broadcast, or until they read the store
// themselves, because the host that forwards changes to them is gone or slow (issue 44, CONFIG).
func TestLargeTableBesideFailedForwardingHosts(t *testing.T) {
	cases := []struct {
		name    string
		disturb func(f *fleet)
	}{
		{"the forwarding hosts of both readers do not respond", func(f *fleet) {
			for _, id := range slices.Concat(f.forwardingHosts(0), f.forwardingHosts(1)) {
				f.unresponsive[id] = true
			}
		}},
		{"the forwarding hosts of one reader do not respond, and the other reader is partitioned", func(f *fleet) {
			for _, id := range f.forwardingHosts(0) {
				f.unresponsive[id] = true
			}
			second := f.hostOfRank(-1)
			f.partitioned[second], f.store.down[second] = true, true
		}},
		{"the forwarding hosts of both readers know no other hosts", func(f *fleet) {
			for _, id := range slices.Concat(f.forwardingHosts(0), f.forwardingHosts(1)) {
				f.forgetful.Store(id, true)
			}
		}},
		{"the forwarding hosts of both readers are slow", func(f *fleet) {
			for _, id := range slices.Concat(f.forwardingHosts(0), f.forwardingHosts(1)) {
				f.handlingTime[id] = time.Second
			}
		}},
	}
	// Requests of callers take three quarters of each link, so that the table takes longer to
	// arrive from the store.
	const link, responseDelay = fullLink / 4, 1300 * time.Millisecond
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			testLargeTable(t, link, responseDelay, tc.disturb)
		})
	}
}

// fullLink is the rate of a 10 Mbit/s link in bytes per second.
const fullLink = 10_000_000 / 8

// testLargeTable checks that a table of 1,480 routes is in effect in time on all of 129 hosts
// but the disturbed ones.
func testLargeTable(t *testing.T, link int, responseDelay time.Duration, disturb func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer stopFleet(cancel)
		const size = 129
		f := newFleet(size)
		f.linkBytesPerSecond = link
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return table(r, 1) })
		f.run(ctx)
		time.Sleep(10 * time.Second)
		// The worst time is right after a confirmation, when standby hosts wait longest.
		for f.followers["h5"].Staleness() > 100*time.Millisecond {
			time.Sleep(10 * time.Millisecond)
		}
		f.mu.Lock()
		f.store.mu.Lock()
		f.store.responseDelay = responseDelay
		disturb(f)
		disturbed := len(f.partitioned) + len(f.unresponsive) + len(f.handlingTime)
		f.store.mu.Unlock()
		f.mu.Unlock()
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return largeTable(r, 1480) })
		time.Sleep(2500 * time.Millisecond)
		behind := 0
		for _, member := range f.followers {
			if member.View().Table().Version() != 2 {
				behind++
			}
		}
		require.LessOrEqual(t, behind, disturbed)
	})
}

// largeTable returns version 2 of the table, with the given number of routes.
func largeTable(revision verbenastand.Revision, routes int) verbenastand.Change {
	c := verbenastand.RouteTableConfig{Version: 2, Services: make(map[verbenastand.ServiceName]verbenastand.ServiceSettings)}
	for i := range routes {
		c.Routes = append(c.Routes, verbenastand.NewRoute(verbenastand.RouteConfig{
			Name: verbenastand.RouteName(fmt.Sprintf("r-%08x", i*2654435761)), HostName: fmt.Sprintf("h%d.example", i%7),
			PathPrefix: fmt.Sprintf("/p%d/", i), Timeout: time.Second, Target: time.Second, MaxAttempts: 2,
			Split: []verbenastand.WeightedService{verbenastand.NewWeightedService("service-a", 90), verbenastand.NewWeightedService("service-b", 10)},
		}))
	}
	return verbenastand.Change{Key: "config", Revision: revision, Table: verbenastand.NewRouteTable(c)}
}

func TestAHostThatStartsDuringAnOutageLoadsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer stopFleet(cancel)
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
			Clock: wallClock{}, Store: storeClient{f.store, "h0"}, Relay: fakeRelay{f, "late"}, Membership: f, Self: f.hosts[0],
			OnView: func(*verbenastand.View) {},
		})
		late.Bootstrap(ctx, f.hosts[1:])
		require.True(t, late.HasRouteTable())
		require.EqualValues(t, 7, late.View().Table().Version())
	})
}
