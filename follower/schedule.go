package follower

import (
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/placer"
)

// due reports whether this host is to read the store now: as one of the readers,
// or because no fresh proof came from them.
func (f *Follower) due() bool {
	running := f.config.Clock.Now().Sub(f.began)
	if running < staleAge && len(f.config.Membership.Hosts()) == 1 {
		// The peers are not known yet.
		return false
	}
	rank := f.rank()
	if rank < 0 {
		return true
	}
	wait := min(time.Duration(rank)*rankDelay, longestRankDelay)
	age := min(f.Age(), running)
	return age > staleAge+wait
}

// readers is the number of hosts that read the store.
const readers = 2

// standing is the place of this host in the order of the hosts it was made from.
type standing struct {
	hosts []verbenastand.Host
	rank  int
}

// rank returns the place of this host among those that do not read, below zero if
// it is a reader. Hosts next to each other in the order are in different
// availability zones.
func (f *Follower) rank() int {
	hosts := f.config.Membership.Hosts()
	if s := f.standing.Load(); s != nil && sameHosts(s.hosts, hosts) {
		return s.rank
	}
	s := &standing{hosts: hosts, rank: len(hosts)}
	for i, h := range placer.Homes(readersKey, len(hosts), hosts) {
		if h.ID() == f.config.Self.ID() {
			s.rank = i - readers
		}
	}
	f.standing.Store(s)
	return s.rank
}

// sameHosts reports whether both are one slice; a membership publishes a new one
// with each change.
func sameHosts(a, b []verbenastand.Host) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}
