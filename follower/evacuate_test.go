package follower

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

// evacuationTarget is the time within which an evacuation takes effect, like a route table, and
// evacuationBound the one within which it must.
const (
	evacuationTarget = 2500 * time.Millisecond
	evacuationBound  = 5 * time.Second
)

func evacuated(zone string, revision verbenastand.Revision) verbenastand.Change {
	return verbenastand.Change{Key: "evacuate/" + zone, Revision: revision, Evacuated: verbenastand.Zone(zone)}
}

func evacuationRemoved(zone string, revision verbenastand.Revision) verbenastand.Change {
	return verbenastand.Change{Key: "evacuate/" + zone, Revision: revision, Removed: true}
}

func (f *fleet) evacuate(zones ...string) {
	for _, zone := range zones {
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return evacuated(zone, r) })
	}
}

func (f *fleet) endEvacuation(zones ...string) {
	for _, zone := range zones {
		f.store.write(func(r verbenastand.Revision) verbenastand.Change { return evacuationRemoved(zone, r) })
	}
}

// hostsEvacuating returns the number of hosts that send nothing to a zone.
func (f *fleet) hostsEvacuating(zone string) (n int) {
	for _, member := range f.followers {
		if member.View().Evacuated(verbenastand.Zone(zone)) {
			n++
		}
	}
	return n
}

// pass lets time pass as the timers of the hosts do.
func (f *fleet) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		f.expireRegistrations()
	}
}

// awaitEvacuating returns the time until all hosts evacuate the zone, or none does.
func (f *fleet) awaitEvacuating(t *testing.T, zone string, hosts int) time.Duration {
	t.Helper()
	began := time.Now()
	for f.hostsEvacuating(zone) != hosts {
		require.Less(t, time.Since(began), 2*evacuationBound)
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// Guards against hosts that apply an evacuation, or of its end, later than of a route table.
func TestEvacuationsReachAllHosts(t *testing.T) {
	for _, size := range []int{38, 123} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runInFleet(t, size, func(f *fleet) {
				for _, zones := range [][]string{{"z0"}, {"z0", "z1"}, {"z0", "z1", "z2"}} {
					f.evacuate(zones...)
					began := f.awaitEvacuating(t, zones[len(zones)-1], size)
					f.endEvacuation(zones...)
					ended := f.awaitEvacuating(t, zones[len(zones)-1], 0)
					t.Logf("%d zones: began after %v, ended after %v", len(zones), began, ended)
					require.Less(t, max(began, ended), evacuationTarget)
				}
			})
		})
	}
}

// Guards against a host that misses an evacuation because it can't read the store itself.
func TestAHostLearnsOfAnEvacuationFromPeersOnly(t *testing.T) {
	runInFleet(t, 14, func(f *fleet) {
		f.store.mu.Lock()
		for _, h := range f.hosts[1:] {
			f.store.down[h.ID()] = true
		}
		f.store.mu.Unlock()
		time.Sleep(5 * time.Second)
		f.evacuate("z1")
		require.Less(t, f.awaitEvacuating(t, "z1", 14), evacuationBound)
		f.endEvacuation("z1")
		require.Less(t, f.awaitEvacuating(t, "z1", 0), evacuationBound)
	})
}

// Guards against an evacuation that ends, or fails to begin, because no host reaches the store.
func TestEvacuationsDuringAnOutageOfTheStore(t *testing.T) {
	runInFleet(t, 14, func(f *fleet) {
		unavailable := func(down bool) {
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			for _, h := range f.hosts {
				f.store.down[h.ID()] = down
			}
		}
		f.evacuate("z1")
		f.awaitEvacuating(t, "z1", 14)
		unavailable(true)
		f.endEvacuation("z1")
		f.evacuate("z2")
		f.pass(20 * time.Second)
		require.Equal(t, 14, f.hostsEvacuating("z1"), "the last known state holds")
		require.Zero(t, f.hostsEvacuating("z2"))
		unavailable(false)
		require.Less(t, f.awaitEvacuating(t, "z2", 14), evacuationBound)
		require.Less(t, f.awaitEvacuating(t, "z1", 0), evacuationBound)
	})
}

// Guards against hosts that send requests into an evacuated zone because the store has lost the
// evacuation, before its operator could write it again, and against one that never ends.
func TestEvacuationsAfterAReturnFromAnOlderCopy(t *testing.T) {
	cases := []struct {
		name string
		// before and lost are what happens before the copy and in the lost seconds, and
		// after is written a second after the return.
		before, lost, after func(f *fleet)
		// retained and holds are set if the zone is evacuated two seconds after the return,
		// and later.
		retained, holds bool
	}{
		{"missing from the copy", nil, func(f *fleet) { f.evacuate("z1") }, nil, true, false},
		{"written again in time", nil, func(f *fleet) { f.evacuate("z1") }, func(f *fleet) { f.evacuate("z1") }, true, true},
		{"written again and deleted", nil, func(f *fleet) { f.evacuate("z1") }, func(f *fleet) {
			f.evacuate("z1")
			time.Sleep(400 * time.Millisecond)
			f.endEvacuation("z1")
		}, false, false},
		{"present in the copy", func(f *fleet) { f.evacuate("z1") }, nil, nil, true, true},
		{"present in the copy, deleted in the lost seconds", func(f *fleet) { f.evacuate("z1") }, func(f *fleet) { f.endEvacuation("z1") }, nil, true, true},
		{"deleted before the copy", func(f *fleet) {
			f.evacuate("z1")
			f.endEvacuation("z1")
		}, func(f *fleet) { f.evacuate("z2") }, nil, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runInFleet(t, 14, func(f *fleet) {
				do := func(step func(f *fleet)) {
					if step != nil {
						step(f)
					}
				}
				do(tc.before)
				time.Sleep(time.Second)
				copied := f.store.newestRevision()
				do(tc.lost)
				time.Sleep(time.Second)
				f.store.restore(copied)
				f.pass(time.Second)
				do(tc.after)
				f.pass(time.Second)
				want := map[bool]int{true: 14}
				require.Equal(t, want[tc.retained], f.hostsEvacuating("z1"))
				f.pass(3 * time.Second)
				require.Equal(t, want[tc.holds], f.hostsEvacuating("z1"))
				f.endEvacuation("z1")
				f.pass(evacuationTarget)
				require.Zero(t, f.hostsEvacuating("z1"))
			})
		})
	}
}

// Guards against a host that sends requests into an evacuated zone because it did not see the
// evacuation before the store lost it.
func TestAHostLearnsOfARetainedEvacuation(t *testing.T) {
	cases := []struct {
		name   string
		absent func(f *fleet)
		back   func(f *fleet)
	}{
		{"cut off", func(f *fleet) { f.cut("h3", true) }, func(f *fleet) { f.cut("h3", false) }},
		{"starting", func(*fleet) {}, func(f *fleet) { f.restart("h3", f.hosts[:2]) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runInFleet(t, 14, func(f *fleet) {
				copied := f.store.newestRevision()
				tc.absent(f)
				f.evacuate("z1")
				time.Sleep(time.Second)
				f.store.restore(copied)
				f.pass(700 * time.Millisecond)
				tc.back(f)
				f.pass(1200 * time.Millisecond)
				require.Equal(t, 14, f.hostsEvacuating("z1"))
				f.pass(1500 * time.Millisecond)
				require.Zero(t, f.hostsEvacuating("z1"), "hosts do not prolong it for each other")
				f.pass(5 * time.Second)
				require.Zero(t, f.hostsEvacuating("z1"))
			})
		})
	}
}

// Guards against a host that sends requests into a zone of which it has not yet learned, whichever
// source answers first.
func TestAStartingHostKnowsTheEvacuations(t *testing.T) {
	runInFleet(t, 14, func(f *fleet) {
		f.evacuate("z1", "z2")
		f.awaitEvacuating(t, "z2", 14)
		f.restart("h5", nil)
		time.Sleep(time.Second)
		require.Equal(t, 2, f.followers["h5"].View().EvacuatedZones(), "from the store")
		f.store.mu.Lock()
		f.store.down["h6"] = true
		f.store.mu.Unlock()
		f.restart("h6", f.hosts[:2])
		time.Sleep(time.Second)
		require.Equal(t, 2, f.followers["h6"].View().EvacuatedZones(), "from a peer")
	})
}

// Guards against memory that grows with the keys that an operator writes, and against keys of
// unknown zones that displace the evacuation of a zone with servers.
func TestEvacuationsAreBounded(t *testing.T) {
	full := func(count int) batch {
		b := batch{full: true, revision: 100_000, changes: []verbenastand.Change{table(1, 1)}}
		for i := range count {
			b.changes = append(b.changes, evacuated(fmt.Sprint("unknown-", i), verbenastand.Revision(2+i)))
		}
		b.changes = append(b.changes, evacuated("z", 90_000), registered("a", 90_001, nil))
		return b
	}
	f := newFollower(fake.NewClock())
	f.apply(full(20_000))
	require.Equal(t, maxEvacuations, f.View().EvacuatedZones())
	require.True(t, f.View().Evacuated("z"))

	f = newFollower(fake.NewClock())
	f.apply(batch{full: true, revision: 1, changes: []verbenastand.Change{table(1, 1)}})
	first := f.changesSince(f.Position())
	for i := range verbenastand.Revision(5000) {
		zone, revision := fmt.Sprint("zone-", i), 2+2*i
		f.apply(batch{after: revision - 1, revision: revision, changes: []verbenastand.Change{evacuated(zone, revision)}})
		require.True(t, f.View().Evacuated(verbenastand.Zone(zone)))
		f.apply(batch{after: revision, revision: revision + 1, changes: []verbenastand.Change{evacuationRemoved(zone, revision+1)}})
	}
	require.Zero(t, f.View().EvacuatedZones())
	require.LessOrEqual(t, len(f.objects), maxEvacuations+1)
	require.True(t, f.changesSince(first.position()).full, "a host behind an end that is no longer known gets all objects")
	f.apply(batch{after: 1, revision: 2, changes: []verbenastand.Change{evacuated("zone-0", 2)}})
	require.Zero(t, f.View().EvacuatedZones(), "an old message does not begin an evacuation again")
}

// Guards against odd names of zones that peers can't read, and against fields of a peer that end
// the process or an evacuation that is in force.
func TestOddEvacuations(t *testing.T) {
	clock := fake.NewClock()
	f := newFollower(clock)
	names := []string{"z", "Z\x00", "evacuated zone: z", "ünï/../cödé", " ", strings.Repeat("z", 10_000)}
	b := batch{full: true, revision: 50, changes: []verbenastand.Change{table(1, 1)}}
	for i, name := range names {
		b.changes = append(b.changes, evacuated(name, verbenastand.Revision(2+i)))
	}
	f.apply(b)
	data, err := encode(f.changesSince(verbenastand.Position{}), clock.Now())
	require.NoError(t, err)
	m, err := decode(data)
	require.NoError(t, err)
	peer := newFollower(clock)
	peer.apply(m.batch(clock.Now()))
	require.Equal(t, len(names), peer.View().EvacuatedZones())
	for _, name := range names {
		require.True(t, peer.View().Evacuated(verbenastand.Zone(name)))
	}
	peer.apply(batch{after: 50, revision: 51, changes: []verbenastand.Change{{Key: "evacuate/z", Revision: 51, Err: decodingError("unreadable")}}})
	require.True(t, peer.View().Evacuated("z"), "the object still exists")
	odd := []retainedRecord{{Key: "evacuate/z"}, {Key: "config", Zone: "a", Left: time.Second}, {Key: "x", Zone: "b", Left: -1}, {Key: "y", Zone: "c", Left: 1 << 62}}
	peer.apply(batch{after: 51, revision: 51, retained: odd})
	require.NotNil(t, peer.View().Table())
	require.True(t, peer.View().Evacuated("c"))
	clock.Advance(reregistrationGrace)
	peer.ExpireRegistrations(clock.Now())
	require.False(t, peer.View().Evacuated("c"))
}

// Guards against a message with retained evacuations that is not read back.
func TestRetainedEvacuationsRoundTrip(t *testing.T) {
	clock := fake.NewClock()
	b := batch{after: 9, revision: 9, confirmedAt: clock.Now(), retained: []retainedRecord{{Key: "evacuate/z", Zone: "z", Left: time.Second}}}
	data, err := encode(b, clock.Now())
	require.NoError(t, err)
	m, err := decode(data)
	require.NoError(t, err)
	require.Equal(t, b.retained, m.batch(clock.Now()).retained)
}

// Guards against hosts that prolong a lost evacuation for each other, and against one that begins
// again after its operator has deleted it.
func TestRetainedEvacuationsLapse(t *testing.T) {
	clock := fake.NewClock()
	f := newFollower(clock)
	f.apply(batch{era: 1, full: true, revision: 5, changes: []verbenastand.Change{table(1, 1), evacuated("a", 4), evacuated("b", 5)}})
	f.apply(batch{era: 2, full: true, revision: 3, changes: []verbenastand.Change{table(1, 1)}})
	require.Equal(t, 2, f.View().EvacuatedZones())
	f.apply(batch{era: 2, after: 3, revision: 5, changes: []verbenastand.Change{evacuated("b", 4)}})
	f.apply(batch{era: 2, after: 5, revision: 6, changes: []verbenastand.Change{evacuationRemoved("b", 6)}})
	clock.Advance(reregistrationGrace)
	f.ExpireRegistrations(clock.Now())
	require.Zero(t, f.View().EvacuatedZones())
	late := []retainedRecord{{Key: "evacuate/a", Zone: "a", Left: time.Second}, {Key: "evacuate/b", Zone: "b", Left: time.Second}}
	f.apply(batch{era: 2, after: 6, revision: 6, retained: late})
	require.Zero(t, f.View().EvacuatedZones())
	f.apply(batch{era: 3, full: true, revision: 7, changes: []verbenastand.Change{table(1, 1)}})
	f.apply(batch{era: 3, after: 7, revision: 7, retained: late})
	require.Equal(t, 2, f.View().EvacuatedZones(), "the store may have lost other changes in a later era")
}
