package resolver

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

type fakeMembership []verbenastand.Host

func (m fakeMembership) Hosts() []verbenastand.Host { return m }

func host(id, zone string, leaving bool) verbenastand.Host {
	return verbenastand.NewHost(verbenastand.HostConfig{
		Instance: verbenastand.NewInstance(verbenastand.HostID(id), 1), Zone: verbenastand.Zone(zone), CallAddress: id, Leaving: leaving,
	})
}

func detachedHost(id, zone string) verbenastand.Host {
	return verbenastand.NewHost(verbenastand.HostConfig{
		Instance: verbenastand.NewInstance(verbenastand.HostID(id), 1), Zone: verbenastand.Zone(zone), CallAddress: id, Detached: true,
	})
}

func TestResolve(t *testing.T) {
	cases := []struct {
		name       string
		hosts      fakeMembership
		serving    bool
		sameZone   []string
		otherZones int
	}{
		{"enough in the zone", fakeMembership{host("a1", "a", false), host("a2", "a", false), host("a3", "a", false), host("b1", "b", false)}, true, []string{"a1", "a2", "a3"}, 0},
		{"one in the zone", fakeMembership{host("a1", "a", false), host("b1", "b", false), host("b2", "b", false), host("c1", "c", false)}, true, []string{"a1"}, 2},
		{"leaving hosts", fakeMembership{host("a1", "a", true), host("a2", "a", false), host("b1", "b", true), host("c1", "c", false)}, true, []string{"a2"}, 1},
		{"this host is leaving or starting", fakeMembership{host("a1", "a", false), host("self", "a", false), host("b1", "b", false)}, false, []string{"a1"}, 1},
		{"a host that reaches no server", fakeMembership{detachedHost("a1", "a"), host("a2", "a", false), host("b1", "b", false)}, true, []string{"a2"}, 1},
		{"a zone that reaches no server", fakeMembership{detachedHost("a1", "a"), detachedHost("a2", "a"), host("b1", "b", false), host("c1", "c", false)}, true, nil, 2},
		{"no host reaches a server", fakeMembership{detachedHost("a1", "a"), detachedHost("b1", "b")}, true, nil, 2},
		{"no host", fakeMembership{host("self", "a", false)}, false, nil, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := NewResolver(Config{Membership: tc.hosts, Self: host("self", "a", false), Serving: func() bool { return tc.serving }, Validity: 2 * time.Second})
			for range 10 {
				addresses, validity := r.Resolve("a", "")
				require.ElementsMatch(t, tc.sameZone, addresses[:len(tc.sameZone)])
				require.Len(t, addresses, len(tc.sameZone)+tc.otherZones)
				require.LessOrEqual(t, validity, 2*time.Second)
				require.Greater(t, validity, time.Second)
			}
		})
	}
}

func TestHostsAreSelectedEvenly(t *testing.T) {
	var hosts fakeMembership
	for i := range 20 {
		hosts = append(hosts, host(fmt.Sprintf("h%d", i), "far", false))
	}
	r := NewResolver(Config{Membership: hosts, Self: hosts[0], Serving: func() bool { return true }, Validity: time.Second})
	counts := make(map[string]int)
	for range 2000 {
		addresses, _ := r.Resolve("a", "")
		for _, a := range addresses {
			counts[a]++
		}
	}
	for _, h := range hosts {
		require.InDelta(t, 2000*minHosts/20, counts[h.CallAddress()], 120)
	}
}

// Guards against callers of an evacuated zone that are directed to its hosts, so that each of their
// requests crosses zones, and against callers that are directed nowhere.
func TestCallersOfAnEvacuatedZone(t *testing.T) {
	hosts := fakeMembership{host("a1", "a", false), host("a2", "a", false), host("b1", "b", false), host("b2", "b", false), host("c1", "c", false), host("c2", "c", true)}
	cases := []struct {
		name      string
		evacuated []verbenastand.Zone
		// first are the hosts before those that are only there as alternatives.
		first []string
	}{
		{"none", nil, []string{"a1", "a2"}},
		{"the caller's", []verbenastand.Zone{"a"}, []string{"b1", "b2", "c1"}},
		{"another one", []verbenastand.Zone{"b"}, []string{"a1", "a2", "c1"}},
		{"the caller's and another one", []verbenastand.Zone{"a", "b"}, []string{"c1"}},
		{"all", []verbenastand.Zone{"a", "b", "c"}, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := NewResolver(Config{
				Membership: hosts, Self: hosts[0], Serving: func() bool { return true }, Validity: time.Second,
				Evacuated: func(z verbenastand.Zone) bool { return slices.Contains(tc.evacuated, z) },
			})
			addresses, _ := r.Resolve("a", "")
			require.Len(t, addresses, minHosts)
			require.ElementsMatch(t, tc.first, addresses[:len(tc.first)])
		})
	}
}

// Guards against callers of an evacuated zone that are directed to failed hosts of other zones while
// these still count as alive, and against hosts that are left out although there are no others.
func TestCallersOfAnEvacuatedZoneAreNotDirectedToStaleHosts(t *testing.T) {
	hosts := fakeMembership{host("a1", "a", false), host("b1", "b", false), host("b2", "b", false), host("b3", "b", false), host("c1", "c", false)}
	cases := []struct {
		name  string
		zone  verbenastand.Zone
		stale []verbenastand.HostID
		want  []string
	}{
		{"none", "a", nil, []string{"b1", "b2", "b3", "c1"}},
		{"a host", "a", []verbenastand.HostID{"b2"}, []string{"b1", "b3", "c1"}},
		{"a host of the evacuated zone is the alternative", "a", []verbenastand.HostID{"b1", "b2"}, []string{"b3", "c1", "a1"}},
		{"a stale host is the last alternative", "a", []verbenastand.HostID{"b1", "b2", "b3"}, []string{"c1", "a1", "b?"}},
		{"the only host that is not stale is in the evacuated zone", "a", []verbenastand.HostID{"b1", "b2", "b3", "c1"}, []string{"a1", "??", "??"}},
		{"callers of another zone", "b", []verbenastand.HostID{"b2"}, []string{"b1", "b2", "b3"}},
		{"unknown names", "a", []verbenastand.HostID{"x", ""}, []string{"b1", "b2", "b3", "c1"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			stale := make(map[verbenastand.HostID]bool)
			for _, id := range tc.stale {
				stale[id] = true
			}
			r := NewResolver(Config{
				Membership: hosts, Self: hosts[0], Serving: func() bool { return true }, Validity: time.Second,
				Evacuated: func(z verbenastand.Zone) bool { return z == "a" },
				Stale:     func() map[verbenastand.HostID]bool { return stale },
			})
			for range 10 {
				addresses, _ := r.Resolve(tc.zone, "")
				require.Len(t, addresses, len(tc.want))
				for _, want := range tc.want {
					if !strings.Contains(want, "?") {
						require.Contains(t, addresses, want)
					}
				}
			}
		})
	}
}

// Guards against callers that are directed to hosts in other regions before those in their own.
func TestHostsOfTheCallersRegionGoFirst(t *testing.T) {
	hosts := fakeMembership{
		host("a1", "a", false), host("b1", "b", false), host("c1", "c", false), host("c2", "c", false), host("d1", "d", false), host("d2", "d", false),
	}
	regions := verbenastand.ZoneRegions{"a": "north", "b": "south", "c": "north", "d": "east"}
	cases := []struct {
		name      string
		zone      verbenastand.Zone
		named     verbenastand.Region
		regions   verbenastand.ZoneRegions
		evacuated verbenastand.Zone
		// first are the hosts that go before the others.
		first []string
	}{
		{"by the zone", "a", "", regions, "", []string{"a1", "c1", "c2"}},
		{"the zone counts", "a", "south", regions, "", []string{"a1", "c1", "c2"}},
		{"by what the caller names", "elsewhere", "south", regions, "", []string{"b1"}},
		{"an evacuated zone", "a", "", regions, "a", []string{"c1", "c2"}},
		{"a region that is not known", "elsewhere", "west", regions, "", nil},
		{"no regions", "a", "north", nil, "", []string{"a1"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := NewResolver(Config{
				Membership: hosts, Self: hosts[0], Serving: func() bool { return true }, Validity: time.Second, Regions: tc.regions,
				Evacuated: func(z verbenastand.Zone) bool { return z == tc.evacuated },
			})
			for range 20 {
				addresses, _ := r.Resolve(tc.zone, tc.named)
				require.GreaterOrEqual(t, len(addresses), minHosts)
				require.ElementsMatch(t, tc.first, addresses[:len(tc.first)])
			}
		})
	}
}
