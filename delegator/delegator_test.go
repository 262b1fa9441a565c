package delegator

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

type fakeMembership struct{ hosts []verbenastand.Host }

func (m *fakeMembership) Hosts() []verbenastand.Host { return m.hosts }

func newHost(id string, change func(*verbenastand.HostConfig)) verbenastand.Host {
	c := verbenastand.HostConfig{Instance: verbenastand.NewInstance(verbenastand.HostID(id), 1), Zone: "z"}
	if change != nil {
		change(&c)
	}
	return verbenastand.NewHost(c)
}

// TestOnlyHostsThatReachServersAreSelected: neither this host, nor one that is stopping or
// reaches no server, nor one that was asked before.
func TestOnlyHostsThatReachServersAreSelected(t *testing.T) {
	self := newHost("self", nil)
	m := &fakeMembership{[]verbenastand.Host{
		self, newHost("a", nil), newHost("b", nil), newHost("leaving", func(c *verbenastand.HostConfig) { c.Leaving = true }),
		newHost("detached", func(c *verbenastand.HostConfig) { c.Detached = true }),
	}}
	d := NewDelegator(Config{Self: self, Membership: m})
	var tried []verbenastand.HostID
	for range 2 {
		h, err := d.Select(tried, verbenastand.Regions{})
		require.NoError(t, err)
		tried = append(tried, h.ID())
	}
	require.ElementsMatch(t, []verbenastand.HostID{"a", "b"}, tried)
	_, err := d.Select(tried, verbenastand.Regions{})
	require.ErrorIs(t, err, ErrNoDelegate)
	m.hosts = []verbenastand.Host{self, newHost("c", nil)}
	h, err := d.Select(tried, verbenastand.Regions{})
	require.NoError(t, err)
	require.EqualValues(t, "c", h.ID(), "the membership has changed")
}

// TestRequestsAreSpreadOverFewHosts: a host keeps connections to a few others, however
// many there are, and none of these gets most of the requests.
func TestRequestsAreSpreadOverFewHosts(t *testing.T) {
	self := newHost("self", nil)
	m := &fakeMembership{[]verbenastand.Host{self}}
	for i := range 471 {
		m.hosts = append(m.hosts, newHost(fmt.Sprint("h", i), nil))
	}
	d := NewDelegator(Config{Self: self, Membership: m})
	const requests = 800
	counts := make(map[verbenastand.HostID]int)
	for range requests {
		h, err := d.Select(nil, verbenastand.Regions{})
		require.NoError(t, err)
		counts[h.ID()]++
	}
	require.LessOrEqual(t, len(counts), maxDelegates)
	for id, n := range counts {
		require.Less(t, n, 2*requests/maxDelegates, "host %s", id)
		for range n {
			d.Release(newHost(string(id), nil))
		}
	}
	require.Empty(t, d.inFlight)
}

// Guards against requests that are delegated to hosts of evacuated zones, which are far from all servers
// and have no share of their limits, and against having no delegate if there are no others.
func TestHostsOfEvacuatedZonesAreTheLastDelegates(t *testing.T) {
	inZone := func(id string, zone verbenastand.Zone) verbenastand.Host {
		return newHost(id, func(c *verbenastand.HostConfig) { c.Zone = zone })
	}
	self := inZone("self", "a")
	cases := []struct {
		name      string
		evacuated []verbenastand.Zone
		want      []verbenastand.HostID
	}{
		{"none", nil, []verbenastand.HostID{"a1", "b1", "c1"}},
		{"one zone", []verbenastand.Zone{"a"}, []verbenastand.HostID{"b1", "c1"}},
		{"two zones", []verbenastand.Zone{"a", "c"}, []verbenastand.HostID{"b1"}},
		{"all zones", []verbenastand.Zone{"a", "b", "c"}, []verbenastand.HostID{"a1", "b1", "c1"}},
		{"unknown zones", []verbenastand.Zone{"", "x"}, []verbenastand.HostID{"a1", "b1", "c1"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := NewDelegator(Config{
				Self: self, Membership: &fakeMembership{[]verbenastand.Host{self, inZone("a1", "a"), inZone("b1", "b"), inZone("c1", "c")}},
				Evacuated: func(z verbenastand.Zone) bool { return slices.Contains(tc.evacuated, z) },
			})
			selected := make(map[verbenastand.HostID]bool)
			for range 100 {
				h, err := d.Select(nil, verbenastand.Regions{})
				require.NoError(t, err)
				selected[h.ID()] = true
				d.Release(h)
			}
			require.ElementsMatch(t, tc.want, slices.Collect(maps.Keys(selected)))
		})
	}
}

// Guards against a request that is sent to a host in a region that its route does not allow, and
// against hosts that are not found among many others.
func TestDelegatesOfRestrictedRequests(t *testing.T) {
	zone := func(z verbenastand.Zone) func(*verbenastand.HostConfig) {
		return func(c *verbenastand.HostConfig) { c.Zone = z }
	}
	self := newHost("self", nil)
	m := &fakeMembership{[]verbenastand.Host{
		self, newHost("same-zone", nil), newHost("same-region", zone("z2")), newHost("allowed", zone("north")), newHost("unknown", zone("nowhere")),
	}}
	for i := range 100 {
		m.hosts = append(m.hosts, newHost(fmt.Sprint("h", i), zone("south")))
	}
	regions := verbenastand.ZoneRegions{"z": "own", "z2": "own", "north": "north", "south": "south"}
	cases := []struct {
		name    string
		allowed verbenastand.Regions
		regions verbenastand.ZoneRegions
		want    []verbenastand.HostID
	}{
		{"another region", verbenastand.NewRegions([]verbenastand.Region{"north"}), regions, []verbenastand.HostID{"same-zone", "same-region", "allowed"}},
		{"none", verbenastand.NewRegions(nil), regions, []verbenastand.HostID{"same-zone", "same-region"}},
		{"no region is known", verbenastand.NewRegions([]verbenastand.Region{"north"}), nil, []verbenastand.HostID{"same-zone"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := NewDelegator(Config{Self: self, Membership: m, Regions: tc.regions})
			var selected []verbenastand.HostID
			for range tc.want {
				h, err := d.Select(selected, tc.allowed)
				require.NoError(t, err)
				selected = append(selected, h.ID())
			}
			require.ElementsMatch(t, tc.want, selected)
			_, err := d.Select(selected, tc.allowed)
			require.ErrorIs(t, err, ErrNoDelegate)
		})
	}
}
