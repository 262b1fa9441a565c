package follower

import (
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/placer"
)

// shouldRead reports whether this host must read the store now: because it is one
// of the readers, or because no recent confirmation came from them.
func (f *Follower) shouldRead() bool {
	running := f.config.Clock.Now().Sub(f.startedAt)
	if running < maxStaleness && len(f.config.Membership.Hosts()) == 1 {
		// The membership may not have discovered the peers yet.
		return false
	}
	rank := f.rank()
	if rank < 0 {
		return true
	}
	wait := min(time.Duration(rank)*rankDelay, maxRankDelay)
	staleness := min(f.Staleness(), running)
	return staleness > maxStaleness+wait
}

// readers is the number of hosts that regularly read the store.
const readers = 2

// cachedRank is the rank of this host among the hosts it was computed from.
type cachedRank struct {
	hosts []verbenastand.Host
	rank  int
}

// rank returns the position of this host in the order in which hosts take over
// reading the store. It is negative for a reader. Hosts next to each other in the
// order are in different availability zones.
func (f *Follower) rank() int {
	hosts := f.config.Membership.Hosts()
	if c := f.rankCache.Load(); c != nil && sameHosts(c.hosts, hosts) {
		return c.rank
	}
	c := &cachedRank{hosts: hosts, rank: len(hosts)}
	for i, h := range placer.Homes(readerOrderKey, len(hosts), hosts) {
		if h.ID() == f.config.Self.ID() {
			c.rank = i - readers
		}
	}
	f.rankCache.Store(c)
	return c.rank
}

// sameHosts reports whether both are the same slice; a membership publishes a new
// slice with each change.
func sameHosts(a, b []verbenastand.Host) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}
