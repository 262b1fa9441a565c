// Package placer selects the home hosts of a service, which serve its requests, by
// rendezvous hashing over the hosts considered alive (Thaler and Ravishankar,
// "Using Name-Based Mappings to Increase Hit Rates", 1998). Hosts with the same set
// of live hosts compute the same placement. A host that joins or leaves only moves
// its own services.
package placer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	verbenastand "github.com/verbenastand/verbenastand"
)

type candidate struct {
	host   verbenastand.Host
	weight uint64
}

// Homes returns the home hosts of the service in rank order. Successive homes are
// in different availability zones as long as there are unused zones, so that a
// home remains if a zone fails. Leaving hosts are used only if all are leaving.
func Homes(service verbenastand.ServiceName, count int, hosts []verbenastand.Host) []verbenastand.Host {
	ranked := rank(service, hosts)
	if len(ranked) > 0 && !ranked[0].host.Leaving() {
		ranked = slices.DeleteFunc(ranked, func(c candidate) bool { return c.host.Leaving() })
	}
	count = min(count, len(ranked))
	homes := make([]verbenastand.Host, 0, count)
	perZone := make(map[verbenastand.Zone]int)
	for maxPerZone := 1; len(homes) < count; maxPerZone++ {
		for _, c := range ranked {
			if len(homes) == count {
				break
			}
			if perZone[c.host.Zone()] >= maxPerZone || slices.Contains(homes, c.host) {
				continue
			}
			perZone[c.host.Zone()]++
			homes = append(homes, c.host)
		}
	}
	return homes
}

// Reaching returns the hosts that reach backend servers, or all if none does.
func Reaching(hosts []verbenastand.Host) []verbenastand.Host {
	reaching := slices.DeleteFunc(slices.Clone(hosts), verbenastand.Host.Detached)
	if len(reaching) == 0 {
		return hosts
	}
	return reaching
}

func rank(service verbenastand.ServiceName, hosts []verbenastand.Host) []candidate {
	ranked := make([]candidate, 0, len(hosts))
	for _, h := range hosts {
		weight := xxhash.Sum64String(string(service) + "\x00" + string(h.ID()))
		ranked = append(ranked, candidate{host: h, weight: weight})
	}
	slices.SortFunc(ranked, func(a, b candidate) int {
		if a.host.Leaving() != b.host.Leaving() {
			if a.host.Leaving() {
				return 1
			}
			return -1
		}
		if a.weight != b.weight {
			return cmp.Compare(b.weight, a.weight)
		}
		return cmp.Compare(a.host.ID(), b.host.ID())
	})
	return ranked
}

// Rank returns the index of a host in the homes, and whether it is one of them.
func Rank(homes []verbenastand.Host, id verbenastand.HostID) (int, bool) {
	for i, h := range homes {
		if h.ID() == id {
			return i, true
		}
	}
	return 0, false
}

// Share returns how many of a server's slots a home host may use; zero for a host
// that is not a home. A server is shared by the homes in its zone, or by all homes
// if its zone has none, so that most requests stay within a zone. The shares of all
// homes sum to slots. The remainder of the division is assigned by a hash of the
// server's ID, so that a home does not get more slots because of its rank.
func Share(server verbenastand.Server, slots int, homes []verbenastand.Host, self verbenastand.HostID) int {
	count, rank := 0, -1
	sameZoneOnly := hasZone(homes, server.Zone())
	for _, h := range homes {
		if sameZoneOnly && h.Zone() != server.Zone() {
			continue
		}
		if h.ID() == self {
			rank = count
		}
		count++
	}
	if rank < 0 {
		return 0
	}
	share := slots / count
	offset := int(xxhash.Sum64String(string(server.ID())) % uint64(count))
	if (rank+offset)%count < slots%count {
		share++
	}
	return share
}

// Slots returns the sum of a home host's shares of all servers.
func Slots(servers []verbenastand.Server, homes []verbenastand.Host, self verbenastand.HostID) int {
	total := 0
	for _, s := range servers {
		total += Share(s, s.Slots(), homes, self)
	}
	return total
}

func hasZone(hosts []verbenastand.Host, zone verbenastand.Zone) bool {
	return slices.ContainsFunc(hosts, func(h verbenastand.Host) bool { return h.Zone() == zone })
}
