package limiter

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	verbenastand "github.com/verbenastand/verbenastand"
)

// hostsLifetime is how long the hosts that share limits are used once they are read.
const hostsLifetime = 200 * time.Millisecond

// sharer ranks this host among those that share the limit of a server. It is not safe for
// concurrent use.
type sharer struct {
	self verbenastand.HostID
	// read returns the hosts that send requests to a server.
	read func(verbenastand.ServerProcess) []verbenastand.Host
	// known holds the hosts that send requests to the servers of each service.
	known map[verbenastand.ServiceName]hostList
}

// hostList is what sharer.read returned at readAt. The digest does not depend on the order
// of the hosts.
type hostList struct {
	hosts  []verbenastand.Host
	readAt time.Time
	digest uint64
}

func newSharer(self verbenastand.HostID, read func(verbenastand.ServerProcess) []verbenastand.Host) sharer {
	return sharer{self: self, read: read, known: make(map[verbenastand.ServiceName]hostList)}
}

// hosts returns the hosts that send requests to the servers of a service. They are read once
// for all of them, and ranked again only when they have changed: in a large fleet, all servers
// of a service may have limits.
func (s *sharer) hosts(p verbenastand.ServerProcess, now time.Time) hostList {
	known, ok := s.known[p.Service]
	if ok && now.Sub(known.readAt) < hostsLifetime {
		return known
	}
	known = hostList{hosts: s.read(p), readAt: now, digest: 1}
	for _, h := range known.hosts {
		known.digest += xxhash.Sum64String(string(h.ID()) + "\x00" + string(h.Zone()))
	}
	s.known[p.Service] = known
	return known
}

// rank returns how many of the hosts come before this one for the server, among those of its
// availability zone if there are any, and how many there are. found is false if this host is
// not among them.
func (s *sharer) rank(p verbenastand.ServerProcess, hosts []verbenastand.Host) (ahead, users int, found bool) {
	local := slices.ContainsFunc(hosts, func(h verbenastand.Host) bool { return h.Zone() == p.Zone })
	own := weight(p, s.self)
	for _, h := range hosts {
		if local && h.Zone() != p.Zone {
			continue
		}
		users++
		switch {
		case h.ID() == s.self:
			found = true
		case weight(p, h.ID()) < own:
			ahead++
		}
	}
	return ahead, users, found
}

// weight orders the hosts for a server (rendezvous hashing, Thaler and Ravishankar 1998).
func weight(p verbenastand.ServerProcess, host verbenastand.HostID) uint64 {
	return xxhash.Sum64String(string(p.Server) + "\x00" + string(host))
}
