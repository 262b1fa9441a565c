package follower

import (
	"slices"
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

// order returns the hosts in the order in which they take on a task of the deployment, those
// with fast links first. Leaving hosts are left out unless all are leaving.
func order(key verbenastand.ServiceName, hosts []verbenastand.Host) []verbenastand.Host {
	staying := slices.DeleteFunc(slices.Clone(hosts), verbenastand.Host.Leaving)
	if len(staying) == 0 {
		staying = hosts
	}
	fastest := 0
	for _, h := range staying {
		fastest = max(fastest, h.LinkMbps())
	}
	var fast, slow []verbenastand.Host
	for _, h := range staying {
		if h.LinkMbps() >= fastest/2 {
			fast = append(fast, h)
			continue
		}
		slow = append(slow, h)
	}
	return slices.Concat(placer.Homes(key, len(fast), fast), placer.Homes(key, len(slow), slow))
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
	for i, h := range order(readerOrderKey, hosts) {
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
