package follower

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

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
			inFleet(t, 14, func(f *fleet) {
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
	const size = 99
	inFleet(t, size, func(f *fleet) {
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
	const size = 99
	inFleet(t, size, func(f *fleet) {
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
	inFleet(t, 14, func(f *fleet) {
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
