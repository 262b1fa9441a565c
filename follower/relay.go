package follower

import (
	"context"
	"slices"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/placer"
)

// spread tells every peer of a batch. In large fleets it reaches each other
// availability zone through one host, which passes it on there.
func (f *Follower) spread(ctx context.Context, b batch) {
	hosts := f.config.Membership.Hosts()
	ctx = context.WithoutCancel(ctx)
	if len(hosts) <= directHosts {
		f.send(ctx, b, f.branches(b, f.others(hosts)))
		return
	}
	var branches []branch
	for zone, members := range f.byZone(hosts) {
		if zone == f.config.Self.Zone() {
			branches = append(branches, f.branches(b, members)...)
			continue
		}
		branches = append(branches, branch{head: members[0], rest: members[1:]})
	}
	f.send(ctx, b, branches)
}

// branch is a peer that a batch is sent to, with the peers it passes it on to.
type branch struct {
	head verbenastand.Host
	rest []verbenastand.Host
}

// byZone returns the other hosts of each availability zone. Each reader has
// another order, so that the loss of a host holds up only what one of them sends.
func (f *Follower) byZone(hosts []verbenastand.Host) map[verbenastand.Zone][]verbenastand.Host {
	zones := make(map[verbenastand.Zone][]verbenastand.Host)
	for _, h := range f.others(placer.Homes(relaysKey, len(hosts), hosts)) {
		zones[h.Zone()] = append(zones[h.Zone()], h)
	}
	if place := max(0, f.rank()+readers) % readers; place > 0 {
		for zone, members := range zones {
			half := len(members) / readers * place
			zones[zone] = slices.Concat(members[half:], members[:half])
		}
	}
	return zones
}

// others returns the hosts without this one.
func (f *Follower) others(hosts []verbenastand.Host) []verbenastand.Host {
	others := make([]verbenastand.Host, 0, len(hosts))
	for _, h := range hosts {
		if h.ID() != f.config.Self.ID() {
			others = append(others, h)
		}
	}
	return others
}

// branches divides peers so that a small batch reaches each of them directly and a
// large one leaves this host's link only a few times.
func (f *Follower) branches(b batch, peers []verbenastand.Host) []branch {
	count := len(peers)
	if b.large() {
		count = min(count, fanOut)
	}
	branches := make([]branch, count)
	for i, h := range peers {
		at := &branches[i%count]
		if i < count {
			at.head = h
			continue
		}
		at.rest = append(at.rest, h)
	}
	return branches
}

// send sends a batch along its branches.
func (f *Follower) send(ctx context.Context, b batch, branches []branch) {
	for _, to := range branches {
		go f.tell(ctx, b, to)
	}
}

// tell sends a batch to a peer, after it whatever the peer lacks. A large batch is
// announced first, since the peer may have it from another host.
func (f *Follower) tell(ctx context.Context, b batch, to branch) {
	if !b.large() {
		known, err := f.exchange(ctx, b, to)
		if err != nil || known >= b.revision {
			return
		}
		b = f.since(known)
	}
	if b.large() {
		f.largeSends <- struct{}{}
		defer func() { <-f.largeSends }()
		known, err := f.exchange(ctx, b.announcement(), to)
		if err != nil || known >= b.revision {
			return
		}
		b = f.since(known)
	}
	_, err := f.exchange(ctx, b, to)
	if err != nil {
		f.config.OnEvent(Event{What: "relayFailed", Key: string(to.head.ID()), Revision: b.revision, Err: err})
	}
}

// exchange sends a message to a peer and returns the revision known there.
func (f *Follower) exchange(ctx context.Context, b batch, to branch) (verbenastand.Revision, error) {
	for _, h := range to.rest {
		b.passOn = append(b.passOn, h.ID())
	}
	data, err := encode(b, f.config.Clock.Now())
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout+time.Duration(len(data))*time.Second/slowestRelay)
	defer cancel()
	answer, err := f.config.Relay.Relay(ctx, to.head, data)
	if err != nil {
		return 0, err
	}
	m, err := decode(answer)
	return verbenastand.Revision(m.Revision), err
}

// passOn sends a batch to the peers that its sender left to this host. Those that
// are not known here learn of it from the next reader.
func (f *Follower) passOn(b batch) {
	var peers []verbenastand.Host
	for _, h := range f.others(f.config.Membership.Hosts()) {
		if slices.Contains(b.passOn, h.ID()) {
			peers = append(peers, h)
		}
	}
	b.passOn = nil
	f.send(context.Background(), b, f.branches(b, peers))
}

// ask takes over what a peer knows.
func (f *Follower) ask(ctx context.Context, peer verbenastand.Host) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	question, err := marshal(message{Version: messageVersion, Ask: true, After: uint64(f.Revision())})
	if err != nil {
		return
	}
	answer, err := f.config.Relay.Relay(ctx, peer, question)
	if err != nil {
		return
	}
	if m, err := decode(answer); err == nil && m.Revision > 0 {
		f.apply(m.batch(f.config.Clock.Now()))
	}
}

// Answer takes a peer's message in, and returns the changes it asks for or the
// revision that is known here.
func (f *Follower) Answer(data []byte) ([]byte, error) {
	m, err := decode(data)
	if err != nil {
		return nil, err
	}
	now := f.config.Clock.Now()
	if m.Ask {
		return encode(f.since(verbenastand.Revision(m.After)), now)
	}
	b := m.batch(now)
	if f.apply(b) {
		f.passOn(b)
	}
	return marshal(message{Version: messageVersion, Revision: uint64(f.Revision())})
}
