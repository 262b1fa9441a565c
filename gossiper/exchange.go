package gossiper

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

func (g *Gossiper) push(ctx context.Context, hosts []verbenastand.Host) {
	var pending sync.WaitGroup
	for _, h := range hosts {
		if h.ID() == g.config.Self.ID() {
			continue
		}
		pending.Go(func() { g.exchange(ctx, h) })
	}
	pending.Wait()
}

// Push sends the current state to the given hosts at once and waits up to
// pushTimeout for their responses.
func (g *Gossiper) Push(ctx context.Context, hosts []verbenastand.Host) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	g.push(ctx, hosts)
}

func (g *Gossiper) exchange(ctx context.Context, h verbenastand.Host) {
	out, err := g.encode(h.Zone())
	if err != nil {
		return
	}
	g.sent.Add(uint64(len(out)))
	in, err := g.config.Transport.Exchange(ctx, h, out)
	if err != nil {
		return
	}
	_ = g.applyEncoded(in)
}

// HandleMessage applies a peer's message and returns this host's own. A peer that
// was unknown, or that asks for records, receives the full records of many hosts.
func (g *Gossiper) HandleMessage(data []byte) ([]byte, error) {
	m, err := decodeMessage(data)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	sender := g.peers[verbenastand.HostID(m.Hosts[0].Host)]
	isNew := sender == nil || sender.record.Boot != m.Hosts[0].Boot
	g.mu.Unlock()
	g.applyMessage(m, len(data))
	records := recordsPerMessage
	if isNew || m.WantsRecords {
		records = initialRecords
	}
	out, err := g.encodeWith(verbenastand.Zone(m.Hosts[0].Zone), records)
	g.sent.Add(uint64(len(out)))
	return out, err
}

// encode encodes a message to a host of an availability zone, which is empty if it is unknown.
func (g *Gossiper) encode(receiver verbenastand.Zone) ([]byte, error) {
	return g.encodeWith(receiver, recordsPerMessage)
}

// encodeWith encodes a message of up to limit full records of other hosts. The
// space that records, notices and evidence leave in messageBudget is filled with
// heartbeats of the remaining hosts.
func (g *Gossiper) encodeWith(receiver verbenastand.Zone, limit int) ([]byte, error) {
	urgent := maxUrgentItems
	if limit == initialRecords {
		urgent = initialUrgentItems
	}
	m := message{Version: messageVersion, Evidence: g.config.Quarantine.Evidence(urgent), Limits: g.config.Limits.Records(urgent)}
	notices := g.config.Notices()
	g.mu.Lock()
	g.config.Random.Shuffle(len(notices), func(i, j int) { notices[i], notices[j] = notices[j], notices[i] })
	for _, n := range notices[:min(maxUrgentItems, len(notices))] {
		m.Notices = append(m.Notices, noticeRecord{Service: n.Service, Server: n.Server, Ticket: n.Ticket, Instance: n.Instance})
	}
	self := g.self
	configuration := g.config.Configuration.Configuration()
	self.Ticket = configuration.Number()
	self.Digest = configuration.Digest()
	alive := g.aliveLocked()
	records := min(limit, len(alive))
	m.Hosts = append([]hostRecord{self}, recordsOf(alive[:records])...)
	m.Leaving = recentlyLeaving(alive, g.config.Timer.Now())
	remaining := messageBudget - hostRecordBytes*len(m.Hosts) - noticeBytes*len(m.Notices) - evidenceBytes*len(m.Evidence) - limitBytes*len(m.Limits) - tagBytes*len(m.Leaving)
	m.Heartbeats = heartbeatsOf(g.unknownTo(receiver, alive[records:]), max(0, remaining/heartbeatBytes))
	m.WantsRecords = g.needsRecords
	g.mu.Unlock()
	return encodeMessage(m)
}

// aliveLocked returns the other hosts considered alive in random order, those
// with recent changes first.
func (g *Gossiper) aliveLocked() []*peer {
	now := g.config.Timer.Now()
	var alive []*peer
	for _, p := range g.peers {
		if now.Sub(p.lastSeen) < g.lifetimeLocked() {
			alive = append(alive, p)
		}
	}
	slices.SortFunc(alive, func(a, b *peer) int { return cmp.Compare(a.record.Host, b.record.Host) })
	g.config.Random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	slices.SortStableFunc(alive, func(a, b *peer) int {
		if a.changedRecently(now) == b.changedRecently(now) {
			return 0
		}
		if a.changedRecently(now) {
			return -1
		}
		return 1
	})
	return alive
}

// recentlyLeaving returns the tags of up to maxLeaving peers that have recently
// announced their shutdown. Peers with recent changes must come first.
func recentlyLeaving(peers []*peer, now time.Time) []uint32 {
	var tags []uint32
	for _, p := range peers {
		if !p.changedRecently(now) || len(tags) == maxLeaving {
			break
		}
		if p.record.Leaving {
			tags = append(tags, p.tag)
		}
	}
	return tags
}

// unknownTo leaves out the peers in the availability zone of the receiver if that is another
// one and large: the receiver has their heartbeats sooner from its own zone.
func (g *Gossiper) unknownTo(receiver verbenastand.Zone, peers []*peer) []*peer {
	if receiver == g.config.Self.Zone() {
		return peers
	}
	var others []*peer
	for _, p := range peers {
		if verbenastand.Zone(p.record.Zone) != receiver {
			others = append(others, p)
		}
	}
	if len(peers)-len(others) < largeZone {
		return peers
	}
	return others
}

func recordsOf(peers []*peer) []hostRecord {
	records := make([]hostRecord, 0, len(peers))
	for _, p := range peers {
		records = append(records, p.record)
	}
	return records
}

func heartbeatsOf(peers []*peer, limit int) map[uint32]uint64 {
	peers = peers[:min(limit, len(peers))]
	heartbeats := make(map[uint32]uint64, len(peers))
	for _, p := range peers {
		heartbeats[p.tag] = p.record.Heartbeat
	}
	return heartbeats
}

func (g *Gossiper) applyEncoded(data []byte) error {
	m, err := decodeMessage(data)
	if err != nil {
		return err
	}
	g.applyMessage(m, len(data))
	return nil
}

func (g *Gossiper) applyMessage(m message, size int) {
	g.received.Add(uint64(size))
	g.mu.Lock()
	changed := false
	if len(m.Hosts) > recordsPerMessage+1 {
		g.needsRecords = false
	}
	for _, r := range m.Hosts {
		changed = g.mergeRecordLocked(r) || changed
	}
	for tag, heartbeat := range m.Heartbeats {
		changed = g.mergeHeartbeatLocked(tag, heartbeat) || changed
	}
	for _, tag := range m.Leaving {
		changed = g.mergeLeavingLocked(tag) || changed
	}
	g.mu.Unlock()
	if changed {
		g.rebuild()
	}
	for _, n := range m.Notices {
		notice := Notice{Service: n.Service}
		notice.Server, notice.Ticket, notice.Instance = n.Server, n.Ticket, n.Instance
		g.config.OnNotice(notice)
	}
	for _, e := range m.Evidence {
		if g.config.Quarantine.Merge(e) {
			g.SpreadChanges()
		}
	}
	for _, r := range m.Limits {
		if g.config.Limits.Merge(r) {
			g.SpreadChanges()
		}
	}
	g.compareTickets(m.Hosts[0])
}

func (g *Gossiper) compareTickets(sender hostRecord) {
	configuration := g.config.Configuration.Configuration()
	if sender.Ticket < configuration.Number() || sender.Digest == configuration.Digest() {
		return
	}
	g.config.OnNewerTickets(sender.host(), sender.Ticket)
}
