package gossiper

import verbenastand "github.com/verbenastand/verbenastand"

// KnownHosts returns this host and all others that it knows, alive or unreachable. Unlike Hosts
// and Unreachable, which change at different moments, it holds each of them once.
func (g *Gossiper) KnownHosts() []verbenastand.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	hosts := make([]verbenastand.Host, 0, len(g.peers)+1)
	hosts = append(hosts, g.self.host())
	for _, p := range g.peers {
		r := p.record
		r.Leaving = r.Leaving || p.listedLeaving
		hosts = append(hosts, r.host())
	}
	return hosts
}

// KnowsSeeds reports whether this host knows at least half of the seed hosts, alive or
// unreachable, itself among them. The process of a host that starts in a partition, or was alone
// for long, does not know the others. Both sides of a partition may know a half.
func (g *Gossiper) KnowsSeeds() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
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
