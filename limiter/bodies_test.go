package limiter

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

// zonedHosts returns hosts, a number for each zone.
func zonedHosts(perZone ...int) (list []verbenastand.Host) {
	for zone, n := range perZone {
		for i := range n {
			list = append(list, verbenastand.NewHost(verbenastand.HostConfig{
				Instance: verbenastand.NewInstance(verbenastand.HostID(fmt.Sprint("host-", zone, "-", i)), 1), Zone: zoneName(zone),
			}))
		}
	}
	return list
}

func zoneName(zone int) verbenastand.Zone { return verbenastand.Zone(fmt.Sprint("zone-", zone)) }

func bodyLimit(server, slots int, zones ...verbenastand.Zone) verbenastand.BodyLimit {
	return verbenastand.BodyLimit{
		Process: verbenastand.ServerProcess{Server: verbenastand.ServerID(fmt.Sprint("server-", server)), StartTime: 1, Service: "svc", Zone: zoneName(server % 3)},
		Slots:   slots, Largest: 64 << 20, Zones: zones,
	}
}

func allBodies(clock verbenastand.Clock, hosts []verbenastand.Host) (all []*Bodies) {
	for _, h := range hosts {
		all = append(all, NewBodies(BodiesConfig{
			Clock: clock, Self: h.ID(), Hosts: func(verbenastand.ServerProcess) []verbenastand.Host { return hosts },
		}))
	}
	return all
}

// TestBodySharesStayInTheBound guards against hosts that together may have more bytes in flight to a
// server than the largest body for each of its slots, or of which none may send the largest one.
func TestBodySharesStayInTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := fake.NewClock()
		hosts := zonedHosts(rapid.IntRange(0, 20).Draw(t, "hosts-0"), rapid.IntRange(1, 20).Draw(t, "hosts-1"), rapid.IntRange(0, 50).Draw(t, "hosts-2"))
		slots := rapid.IntRange(-1, 40).Draw(t, "slots")
		zones := []verbenastand.Zone{zoneName(0), zoneName(1), zoneName(2)}[rapid.IntRange(0, 2).Draw(t, "evacuated"):]
		all := allBodies(clock, hosts)
		for server := range 3 {
			l := bodyLimit(server, slots, zones...)
			sum, largest := int64(0), int64(0)
			for _, b := range all {
				share, known := b.BodyShare(l)
				require.True(t, known)
				sum, largest = sum+share, max(largest, share)
			}
			require.LessOrEqual(t, sum, int64(max(slots, 1))*l.Largest)
			require.GreaterOrEqual(t, largest, l.Largest)
		}
	})
}

// TestHostsHaveBodyShares measures how many hosts of a fleet may send bodies of a size to some server of
// their zone. It guards against a division that leaves most hosts without a share.
func TestHostsHaveBodyShares(t *testing.T) {
	cases := []struct {
		name           string
		hosts          []int
		servers, slots int
		whole, part    float64
	}{
		{"38 hosts, 77 servers with 3 slots", []int{13, 13, 12}, 77, 3, 0.9, 1},
		{"38 hosts, 43 servers with 3 slots", []int{13, 13, 12}, 43, 3, 0.8, 0.95},
		{"123 hosts, 108 servers with 4 slots", []int{38, 37, 48}, 108, 4, 0.7, 0.98},
		{"123 hosts, 53 servers with 4 slots", []int{38, 37, 48}, 53, 4, 0.45, 0.95},
		{"fewer hosts than slots", []int{1, 1, 1}, 3, 6, 1, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			hosts := zonedHosts(tc.hosts...)
			whole, part := 0, 0
			for i, b := range allBodies(fake.NewClock(), hosts) {
				best := int64(0)
				for server := range tc.servers {
					l := bodyLimit(server, tc.slots, zoneName(0), zoneName(1), zoneName(2))
					share, _ := b.BodyShare(l)
					if share > 0 {
						require.Equal(t, l.Process.Zone, hosts[i].Zone())
					}
					best = max(best, share)
				}
				if best >= 64<<20 {
					whole++
				}
				if best >= 16<<20 {
					part++
				}
			}
			n := float64(len(hosts))
			t.Logf("largest body: %.3f of the hosts, a quarter of it: %.3f", float64(whole)/n, float64(part)/n)
			require.GreaterOrEqual(t, float64(whole)/n, tc.whole)
			require.GreaterOrEqual(t, float64(part)/n, tc.part)
		})
	}
}

// TestBodySharesFollowTheHosts guards against shares while the hosts are unknown, shares that are kept
// after a change, and hosts of zones without servers that may send large bodies to none.
func TestBodySharesFollowTheHosts(t *testing.T) {
	clock := fake.NewClock()
	var hosts []verbenastand.Host
	b := NewBodies(BodiesConfig{
		Clock: clock, Self: "host-0-0", Hosts: func(verbenastand.ServerProcess) []verbenastand.Host { return hosts },
	})
	l := bodyLimit(0, 4, zoneName(0), zoneName(1), zoneName(2))
	elsewhere := bodyLimit(1, 4, zoneName(0), zoneName(1), zoneName(2))
	check := func(l verbenastand.BodyLimit, want int64, wantKnown bool) {
		t.Helper()
		clock.Advance(2 * hostsLifetime)
		share, known := b.BodyShare(l)
		require.Equal(t, want, share)
		require.Equal(t, wantKnown, known)
	}
	check(l, 0, false)
	hosts = zonedHosts(1, 1, 1)
	check(l, 4*l.Largest, true)
	check(elsewhere, 0, true)
	hosts = zonedHosts(2, 1, 1)
	check(l, 2*l.Largest, true)
	elsewhere.Zones = elsewhere.Zones[1:]
	check(elsewhere, 4*l.Largest/3, true)
	hosts = nil
	b.Pause()
	check(l, 0, false)
}

// TestBodySharesBesideAChangeOfHosts guards against many hosts that get another share of a server when one
// joins or leaves, while the bodies that were sent by the earlier division are still in flight.
func TestBodySharesBesideAChangeOfHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := fake.NewClock()
		hosts := zonedHosts(rapid.IntRange(2, 40).Draw(t, "hosts"), 1)
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		l := bodyLimit(0, slots, zoneName(0), zoneName(1))
		most := make(map[verbenastand.HostID]int64)
		largest := int64(0)
		// The first host joins, or leaves.
		for _, list := range [][]verbenastand.Host{hosts, hosts[1:]} {
			for i, b := range allBodies(clock, list) {
				share, known := b.BodyShare(l)
				require.True(t, known)
				id := list[i].ID()
				most[id], largest = max(most[id], share), max(largest, share)
			}
		}
		sum := int64(0)
		for _, share := range most {
			sum += share
		}
		require.LessOrEqual(t, sum, int64(slots)*l.Largest+largest)
	})
}
