package placer

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	verbenastand "github.com/verbenastand/verbenastand"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

func drawHosts(t *rapid.T) []verbenastand.Host {
	var hosts []verbenastand.Host
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 40), 1, 20, rapid.ID).Draw(t, "hosts") {
		hosts = append(hosts, verbenastand.NewHost(verbenastand.HostConfig{
			Instance: verbenastand.NewInstance(verbenastand.HostID(fmt.Sprint("host-", i)), 1),
			Zone:     verbenastand.Zone(fmt.Sprint("zone-", i%4)),
		}))
	}
	return hosts
}

func ids(hosts []verbenastand.Host) []verbenastand.HostID {
	var all []verbenastand.HostID
	for _, h := range hosts {
		all = append(all, h.ID())
	}
	return all
}

func TestHomesAreDeterministicAndStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := drawHosts(t)
		count := rapid.IntRange(1, 5).Draw(t, "count")
		homes := Homes("bookings", count, hosts)
		require.Len(t, homes, min(count, len(hosts)))
		require.Equal(t, ids(homes), ids(Homes("bookings", count, rapid.Permutation(hosts).Draw(t, "order"))), "order of the hosts")
		removed := rapid.SampledFrom(hosts).Draw(t, "gone")
		var remaining []verbenastand.Host
		for _, h := range hosts {
			if h.ID() != removed.ID() {
				remaining = append(remaining, h)
			}
		}
		after := ids(Homes("bookings", count, remaining))
		if _, isHome := Rank(homes, removed.ID()); !isHome {
			require.Equal(t, ids(homes), after, "removing a host that is not a home changes nothing")
		}
	})
}

func TestHomesAreInDifferentZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := drawHosts(t)
		zones := make(map[verbenastand.Zone]bool)
		for _, h := range hosts {
			zones[h.Zone()] = true
		}
		homes := Homes("ledger", 3, hosts)
		homeZones := make(map[verbenastand.Zone]bool)
		for _, h := range homes {
			homeZones[h.Zone()] = true
		}
		require.Len(t, homeZones, min(len(zones), len(homes)))
	})
}

// If the shares of a server sum to less than its slots, some slots stay unused. If
// they sum to more, the homes overload the server.
func TestSharesSumToSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		homes := Homes("ledger", rapid.IntRange(1, 5).Draw(t, "count"), drawHosts(t))
		server := verbenastand.NewServer(verbenastand.ServerConfig{
			ID:   verbenastand.ServerID(fmt.Sprint("server-", rapid.IntRange(0, 99).Draw(t, "server"))),
			Zone: verbenastand.Zone(fmt.Sprint("zone-", rapid.IntRange(0, 5).Draw(t, "zone"))),
		})
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		total := 0
		for _, h := range homes {
			total += Share(server, slots, homes, h.ID())
		}
		require.Equal(t, slots, total)
	})
}

func TestReaching(t *testing.T) {
	reaching := verbenastand.NewHost(verbenastand.HostConfig{Instance: verbenastand.NewInstance("a", 1)})
	detached := verbenastand.NewHost(verbenastand.HostConfig{Instance: verbenastand.NewInstance("b", 1), Detached: true})
	require.Equal(t, []verbenastand.Host{reaching}, Reaching([]verbenastand.Host{detached, reaching}))
	require.Equal(t, []verbenastand.Host{detached}, Reaching([]verbenastand.Host{detached}), "none reaches servers")
}
