package gossiper

import (
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// SharingHosts returns this host and all others that it knows, alive or unreachable, but none
// that is leaving: they share what is bounded for the whole fleet. It returns none while this host
// does not know its seed hosts, or has learned of another host within the given time: it would
// count on fewer hosts than there are.
func (g *Gossiper) SharingHosts(settled time.Duration) []verbenastand.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.config.Timer.Now().Sub(g.grownAt) < settled || !g.knowsSeedsLocked() {
		return nil
	}
	return g.stayingLocked()
}

// StayingHosts returns this host and all others that it knows, alive or unreachable, but none
// that is leaving, as of one moment. If Hosts and Unreachable are called one after the other, a host
// that fails or returns in between is in both or in neither.
func (g *Gossiper) StayingHosts() []verbenastand.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stayingLocked()
}

func (g *Gossiper) stayingLocked() []verbenastand.Host {
	now := g.config.Timer.Now()
	hosts := make([]verbenastand.Host, 0, len(g.peers)+1)
	if !g.self.Leaving {
		hosts = append(hosts, g.self.host())
	}
	for _, p := range g.peers {
		// The platform's host list is delayed. Of an unreachable host, it does not follow that
		// the host has stopped to use its shares.
		alive := now.Sub(p.lastSeen) < g.lifetimeLocked()
		if !p.record.Leaving && (!alive || !p.listedLeaving) {
			hosts = append(hosts, p.record.host())
		}
	}
	return hosts
}

// knowsSeedsLocked reports whether this host knows at least half of the seed hosts, itself among
// them. The process of a host that starts in a partition, or had no peers for long, does not know the
// others. Both sides of a partition may know a half.
func (g *Gossiper) knowsSeedsLocked() bool {
	unknown := make(map[string]bool, len(g.seeds))
	for _, s := range g.seeds {
		unknown[s.PeerAddress()] = true
	}
	seeds := len(unknown)
	delete(unknown, g.self.PeerAddress)
	for _, p := range g.peers {
		delete(unknown, p.record.PeerAddress)
	}
	return 2*len(unknown) <= seeds
}

// Stale returns the known hosts, alive or not, of which no heartbeat has arrived for the given time before
// the latest heartbeat of any host. To a host that receives no heartbeats, since it was paused or is cut
// off, the others do not become stale.
func (g *Gossiper) Stale(d time.Duration) map[verbenastand.HostID]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	var latest time.Time
	for _, p := range g.peers {
		if p.lastSeen.After(latest) {
			latest = p.lastSeen
		}
	}
	stale := make(map[verbenastand.HostID]bool)
	for id, p := range g.peers {
		if latest.Sub(p.lastSeen) >= d {
			stale[id] = true
		}
	}
	return stale
}
