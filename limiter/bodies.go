package limiter

import (
	"slices"
	"sync"

	verbenastand "github.com/verbenastand/verbenastand"
)

// bodyPart is the part of the largest body that the second group of hosts may have in flight to a
// server. Most large bodies are much smaller than the largest one.
const bodyPart = 4

// BodiesConfig configures Bodies.
type BodiesConfig struct {
	Clock verbenastand.Clock
	Self  verbenastand.HostID
	// Hosts returns the hosts that send requests to the server, including those that
	// are silent, but none that is leaving. It is empty while it is unknown.
	Hosts func(verbenastand.ServerProcess) []verbenastand.Host
}

// Bodies divides the bytes of large request bodies that all hosts together have in flight to a
// server: the largest body for each of its slots. It implements verbenastand.BodyLimiter.
type Bodies struct {
	config BodiesConfig

	mu     sync.Mutex
	sharer sharer
	// ranks holds this host's place for each server.
	ranks map[key]bodyRank
}

// bodyRank is the place of a host among those that send large bodies to a server.
type bodyRank struct {
	digest       uint64
	zones        []verbenastand.Zone
	ahead, users int
	found        bool
}

// NewBodies returns the shares of a host.
func NewBodies(c BodiesConfig) *Bodies {
	return &Bodies{config: c, sharer: newSharer(c.Self, c.Hosts), ranks: make(map[key]bodyRank)}
}

// BodyShare implements verbenastand.BodyLimiter.
func (b *Bodies) BodyShare(l verbenastand.BodyLimit) (bytes int64, known bool) {
	now := b.config.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.sharer.hosts(l.Process, now)
	if len(list.hosts) == 0 {
		return 0, false
	}
	rank := b.rankLocked(l, list)
	if !rank.found {
		return 0, true
	}
	return bodyShare(l, rank.ahead, rank.users), true
}

// rankLocked returns this host's place for a server. It is computed again if the hosts have
// changed, or the zones with servers.
func (b *Bodies) rankLocked(l verbenastand.BodyLimit, list hostList) bodyRank {
	k := keyOf(l.Process)
	rank, ok := b.ranks[k]
	if ok && rank.digest == list.digest && slices.Equal(rank.zones, l.Zones) {
		return rank
	}
	rank = bodyRank{digest: list.digest, zones: l.Zones}
	rank.ahead, rank.users, rank.found = b.sharer.rank(l.Process, bodyHosts(l, list.hosts))
	if len(b.ranks) >= MaxLimits {
		clear(b.ranks)
	}
	b.ranks[k] = rank
	return rank
}

// bodyHosts returns the hosts that send large bodies to a server: those of its zone, and those of
// zones without a server, which count as hosts of its zone. If there are none, all hosts do.
func bodyHosts(l verbenastand.BodyLimit, hosts []verbenastand.Host) []verbenastand.Host {
	var list []verbenastand.Host
	for _, h := range hosts {
		if h.Zone() != l.Process.Zone && slices.Contains(l.Zones, h.Zone()) {
			continue
		}
		list = append(list, verbenastand.NewHost(verbenastand.HostConfig{Instance: h.Instance(), Zone: l.Process.Zone}))
	}
	if len(list) == 0 {
		return hosts
	}
	return list
}

// bodyShare returns the bytes for the host with a number of others ahead of it. Three quarters of
// the slots are for hosts that may send the largest body; the rest is divided into parts, so that
// nearly all hosts have a share at some server. If there are fewer hosts than slots, all get the same.
func bodyShare(l verbenastand.BodyLimit, ahead, users int) int64 {
	slots, largest := max(l.Slots, 1), l.Largest
	if users <= slots {
		return int64(slots) * largest / int64(max(users, 1))
	}
	whole := slots - max(min(1, slots-1), slots/bodyPart)
	switch {
	case ahead < whole:
		return largest
	case ahead < whole+bodyPart*(slots-whole):
		return largest / bodyPart
	}
	return 0
}

// Pause forgets the hosts that were known before a pause of the process.
func (b *Bodies) Pause() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.sharer.known)
}
