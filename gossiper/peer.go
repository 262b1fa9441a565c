package gossiper

import (
	"cmp"
	"slices"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// peer is the state known about another host.
type peer struct {
	record   hostRecord
	tag      uint32
	lastSeen time.Time
	// changedAt is when something other than the heartbeat, ticket number and
	// digest last changed.
	changedAt time.Time
	// listedLeaving is set while the platform's host list marks the instance as
	// leaving.
	listedLeaving bool
	// superseded is the boot number of an instance that has failed and was followed by one
	// with a lower boot number, zero if there is none.
	superseded uint64
}

// follows reports whether a record is that of an instance that started after the known one
// has failed, on a host whose clock was behind.
func (p *peer) follows(r hostRecord, failed bool) bool { return failed && r.Boot < p.record.Boot }

// changedRecently reports whether something other than the heartbeat changed within
// recentChangeWindow.
func (p *peer) changedRecently(now time.Time) bool { return now.Sub(p.changedAt) < recentChangeWindow }

// mergeRecordLocked applies a record if it is newer than the known one, and
// reports whether the set of live hosts may have changed.
func (g *Gossiper) mergeRecordLocked(r hostRecord) bool {
	id := verbenastand.HostID(r.Host)
	if id == g.config.Self.ID() {
		return false
	}
	now := g.config.Timer.Now()
	p := g.peers[id]
	if p == nil {
		p = &peer{record: r, tag: r.tag(), lastSeen: now, changedAt: now}
		g.peers[id], g.grownAt = p, now
		g.byTag[p.tag] = p
		return true
	}
	failed := now.Sub(p.lastSeen) >= g.lifetimeLocked()
	follows := p.follows(r, failed)
	outdated := p.superseded != 0 && r.Boot == p.superseded
	if outdated || (!follows && !r.newer(p.record)) {
		return false
	}
	if follows {
		p.superseded = p.record.Boot
	}
	wasLeaving := r.Boot == p.record.Boot && p.record.Leaving
	if (r.Leaving && !wasLeaving) || (r.Boot == p.record.Boot && r.Detached != p.record.Detached) {
		g.urgentRounds = urgentRounds
	}
	// A shutdown is final for the instance, also if a record that was sent before it
	// arrives later.
	r.Leaving = r.Leaving || wasLeaving
	changed := !p.record.equalIgnoringHeartbeat(r)
	if changed {
		p.changedAt = now
	}
	if r.Boot != p.record.Boot {
		p.listedLeaving = false
		delete(g.byTag, p.tag)
		p.tag = r.tag()
		g.byTag[p.tag] = p
	}
	p.record = r
	return g.markSeenLocked(p, now) || changed
}

// mergeHeartbeatLocked applies a heartbeat as mergeRecordLocked does a record.
func (g *Gossiper) mergeHeartbeatLocked(tag uint32, heartbeat uint64) bool {
	p := g.byTag[tag]
	if p == nil && tag != g.self.tag() {
		g.needsRecords = true
	}
	if p == nil || heartbeat <= p.record.Heartbeat {
		return false
	}
	p.record.Heartbeat = heartbeat
	return g.markSeenLocked(p, g.config.Timer.Now())
}

// mergeLeavingLocked records that an instance has announced its shutdown, and reports
// whether that was not known.
func (g *Gossiper) mergeLeavingLocked(tag uint32) bool {
	p := g.byTag[tag]
	if p == nil || p.record.Leaving {
		return false
	}
	p.record.Leaving = true
	p.changedAt = g.config.Timer.Now()
	g.urgentRounds = urgentRounds
	return true
}

// markSeenLocked records contact with a host and reports whether the host was
// considered failed before.
func (g *Gossiper) markSeenLocked(p *peer, now time.Time) bool {
	wasFailed := now.Sub(p.lastSeen) >= g.lifetimeLocked()
	p.lastSeen = now
	return wasFailed
}

// ApplyHostList applies the platform's host list: unknown hosts are contacted, and
// hosts listed as leaving are treated as leaving until they restart. The list
// is delayed, so it does not decide whether a host is alive.
func (g *Gossiper) ApplyHostList(hosts []verbenastand.Host) {
	g.mu.Lock()
	g.seeds = append(slices.Clone(g.config.Seeds), hosts...)
	for _, h := range hosts {
		if p := g.peers[h.ID()]; p != nil {
			p.listedLeaving = h.Leaving()
		}
	}
	g.mu.Unlock()
	g.rebuild()
}

// rebuild publishes the set of live hosts if it has changed.
func (g *Gossiper) rebuild() {
	g.mu.Lock()
	now := g.config.Timer.Now()
	hosts := []verbenastand.Host{g.self.host()}
	for _, p := range g.peers {
		if now.Sub(p.lastSeen) >= g.lifetimeLocked() {
			continue
		}
		r := p.record
		r.Leaving = r.Leaving || p.listedLeaving
		hosts = append(hosts, r.host())
	}
	slices.SortFunc(hosts, func(a, b verbenastand.Host) int { return cmp.Compare(a.ID(), b.ID()) })
	changed := !slices.Equal(hosts, *g.view.Load())
	if changed {
		g.view.Store(&hosts)
	}
	g.mu.Unlock()
	if changed && g.config.OnMembershipChange != nil {
		g.config.OnMembershipChange()
	}
}

// Unreachable returns the known hosts that are considered failed. They may be on the
// other side of a partition that has just ended.
func (g *Gossiper) Unreachable() []verbenastand.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Timer.Now()
	var hosts []verbenastand.Host
	for _, p := range g.peers {
		if now.Sub(p.lastSeen) >= g.lifetimeLocked() {
			hosts = append(hosts, p.record.host())
		}
	}
	return hosts
}

// PeerStatus describes a peer in the status report for operators.
type PeerStatus struct {
	Host   verbenastand.Host
	Age    time.Duration
	Ticket verbenastand.TicketNumber
}

// Status returns the status of every known peer, sorted by name.
func (g *Gossiper) Status() []PeerStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Timer.Now()
	var peers []PeerStatus
	for _, p := range g.peers {
		peers = append(peers, PeerStatus{Host: p.record.host(), Age: now.Sub(p.lastSeen), Ticket: p.record.Ticket})
	}
	slices.SortFunc(peers, func(a, b PeerStatus) int { return cmp.Compare(a.Host.ID(), b.Host.ID()) })
	return peers
}

func (g *Gossiper) successor(i verbenastand.Instance) (verbenastand.Host, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Timer.Now()
	for _, p := range g.peers {
		if now.Sub(p.lastSeen) < g.lifetimeLocked() && slices.Contains(p.record.ImportedFrom, i.String()) {
			return p.record.host(), true
		}
	}
	return verbenastand.Host{}, false
}

// KeyOwner returns the host that has the idempotency keys of an instance. A host
// that imported them takes precedence: the instance has then stopped, even if it
// is still considered alive.
func (g *Gossiper) KeyOwner(i verbenastand.Instance) (verbenastand.Host, bool) {
	if h, found := g.successor(i); found {
		return h, true
	}
	h, found := g.Find(i.Host())
	return h, found && h.Instance() == i
}

// SetImportedFrom sets the stopped instances whose keys this host imported, as
// advertised to peers.
func (g *Gossiper) SetImportedFrom(instances []verbenastand.Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.ImportedFrom = nil
	for _, i := range instances {
		g.self.ImportedFrom = append(g.self.ImportedFrom, i.String())
	}
	slices.Sort(g.self.ImportedFrom)
	g.self.Heartbeat++
}
