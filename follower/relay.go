package follower

import (
	"context"
	"slices"
	"sync"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// broadcast sends a batch to every peer. With more than maxDirectHosts hosts it sends
// the batch to one host in each of the other availability zones, which forwards it
// there.
func (f *Follower) broadcast(ctx context.Context, b batch) {
	hosts := f.config.Membership.Hosts()
	ctx = context.WithoutCancel(ctx)
	if len(hosts) <= maxDirectHosts {
		f.sendAll(ctx, b, f.subtrees(b, f.others(hosts)))
		return
	}
	var subtrees []subtree
	for zone, members := range f.byZone(hosts) {
		if zone == f.config.Self.Zone() {
			subtrees = append(subtrees, f.subtrees(b, members)...)
			continue
		}
		subtrees = append(subtrees, subtree{root: members[0], descendants: members[1:]})
	}
	f.sendAll(ctx, b, subtrees)
}

// subtree is a peer that a batch is sent to, with the peers to which it forwards
// the batch.
type subtree struct {
	root        verbenastand.Host
	descendants []verbenastand.Host
	// handOver sends a batch to descendants to which the root does not forward it; nil if
	// there are none.
	handOver func(descendants []verbenastand.Host)
	// replaced counts the peers that were to forward the batch before.
	replaced int
}

// replaceRoot hands all descendants over.
func (s subtree) replaceRoot() {
	if s.handOver != nil {
		s.handOver(s.descendants)
	}
}

// byZone returns the other hosts of each availability zone. In another zone, the
// first host forwards to the rest. The readers use different orders, so that the
// loss of one host delays only what one of them sends.
func (f *Follower) byZone(hosts []verbenastand.Host) map[verbenastand.Zone][]verbenastand.Host {
	zones := make(map[verbenastand.Zone][]verbenastand.Host)
	for _, h := range f.others(order(relayOrderKey, hosts)) {
		zones[h.Zone()] = append(zones[h.Zone()], h)
	}
	if readerIndex := max(0, f.rank()+readers) % readers; readerIndex > 0 {
		for zone, members := range zones {
			zones[zone] = alternative(members)
		}
	}
	return zones
}

// alternative returns hosts in another order, which begins with the second one and then
// with hosts from the middle.
func alternative(hosts []verbenastand.Host) []verbenastand.Host {
	if len(hosts) < 2 {
		return hosts
	}
	others := hosts[2:]
	middle := len(others) / 2
	return slices.Concat(hosts[1:2], others[middle:], others[:middle], hosts[:1])
}

// others returns the hosts except this one.
func (f *Follower) others(hosts []verbenastand.Host) []verbenastand.Host {
	others := make([]verbenastand.Host, 0, len(hosts))
	for _, h := range hosts {
		if h.ID() != f.config.Self.ID() {
			others = append(others, h)
		}
	}
	return others
}

// subtrees divides peers so that a small batch reaches each of them directly and a
// large one is sent over this host's link only a few times.
func (f *Follower) subtrees(b batch, peers []verbenastand.Host) []subtree {
	rootCount := len(peers)
	if b.large() {
		rootCount = min(rootCount, fanOut)
	}
	subtrees := make([]subtree, rootCount)
	for i, h := range peers {
		tree := &subtrees[i%rootCount]
		if i < rootCount {
			tree.root = h
			continue
		}
		tree.descendants = append(tree.descendants, h)
	}
	return subtrees
}

// sendAll sends a batch to the root of each subtree, without waiting for the end.
func (f *Follower) sendAll(ctx context.Context, b batch, subtrees []subtree) {
	if b.encoded == nil {
		b.encoded = &encodedChanges{}
	}
	for _, to := range subtrees {
		go f.send(ctx, b, to)
	}
}

// send sends a batch to a peer, followed by the changes that the peer still lacks.
// A large batch is announced first, since the peer may have received it from
// another host. If the peer does not respond soon, another one forwards the batch in its
// place.
func (f *Follower) send(ctx context.Context, b batch, to subtree) {
	to.handOver = f.handOver(ctx, b, to)
	lacking := b
	if !lacking.large() {
		known, err := f.exchange(ctx, lacking, to)
		if err != nil || !known.Before(b.position()) {
			return
		}
		lacking = f.changesSince(known)
	}
	if lacking.large() {
		known, release, err := f.announce(ctx, lacking, to)
		defer release()
		if err != nil || !known.Before(lacking.position()) {
			return
		}
		lacking = f.changesSince(known)
	}
	_, err := f.exchange(ctx, lacking, to)
	if err != nil {
		f.config.OnEvent(Event{Name: "relayFailed", Key: string(to.root.ID()), Position: lacking.position(), Err: err})
	}
}

// handOver returns a function that sends a batch to descendants of a peer that does not
// forward it to them. Only its first call has an effect.
func (f *Follower) handOver(ctx context.Context, b batch, to subtree) func(descendants []verbenastand.Host) {
	var once sync.Once
	return func(descendants []verbenastand.Host) {
		if len(descendants) == 0 || to.replaced == maxReplacements {
			return
		}
		once.Do(func() {
			f.config.OnEvent(Event{Name: "relayReplaced", Key: string(to.root.ID()), Position: b.position(), Staleness: f.Staleness()})
			go f.send(ctx, b, subtree{root: descendants[0], descendants: descendants[1:], replaced: to.replaced + 1})
		})
	}
}

// announce returns the position known at a peer. If that is before the batch, it has
// reserved one of the concurrent sends of large batches, which release ends. A peer that
// does not respond takes none.
func (f *Follower) announce(ctx context.Context, b batch, to subtree) (known verbenastand.Position, release func(), err error) {
	release = func() {}
	known, err = f.exchange(ctx, b.announcement(), to)
	if err != nil || !known.Before(b.position()) {
		return known, release, err
	}
	release = func() { <-f.largeSends }
	select {
	case f.largeSends <- struct{}{}:
		return known, release, nil
	default:
	}
	f.largeSends <- struct{}{}
	// The peer may have received the batch from another host meanwhile.
	known, err = f.exchange(ctx, b.announcement(), to)
	return known, release, err
}

// exchange sends a batch to a peer and returns the position known there. If the peer
// holds other states than this host, both learn of them. Descendants to which the peer
// does not forward the batch, or not in time, are handed over.
func (f *Follower) exchange(ctx context.Context, b batch, to subtree) (verbenastand.Position, error) {
	for _, h := range to.descendants {
		b.forwardTo = append(b.forwardTo, h.ID())
	}
	m, err := f.relay(ctx, b, to)
	if err != nil {
		to.replaceRoot()
		return verbenastand.Position{}, err
	}
	if len(m.Skipped) > 0 && to.handOver != nil {
		to.handOver(slices.DeleteFunc(slices.Clone(to.descendants), func(h verbenastand.Host) bool {
			return !slices.Contains(m.Skipped, string(h.ID()))
		}))
	}
	f.noteNewest(m.position())
	if len(m.Retained) > 0 && m.position() == f.Position() {
		f.apply(batch{era: m.position().Era, after: m.position().Revision, revision: m.position().Revision, retained: m.Retained})
	}
	if m.position() != f.Position() || m.HeldDigest == f.heldDigest() {
		return m.position(), nil
	}
	f.apply(batch{era: m.position().Era, after: m.position().Revision, revision: m.position().Revision, held: m.heldChanges()})
	if m.HeldDigest != f.heldDigest() {
		_, err = f.relay(ctx, f.heldBatch(), subtree{root: to.root})
	}
	return m.position(), err
}

// heldBatch returns a batch with only the states that this host holds.
func (f *Follower) heldBatch() batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	return batch{era: f.era, after: f.revision, revision: f.revision, held: f.heldChangesLocked()}
}

// relay sends a batch to the root of a subtree and returns its response. The root is
// replaced if its response takes longer than usual.
func (f *Follower) relay(ctx context.Context, b batch, to subtree) (message, error) {
	request := messageOf(b, f.config.Clock.Now())
	request.HeldDigest, request.Retained = f.heldDigest(), f.retained()
	data, err := encodeBatch(request, b)
	if err != nil {
		return message{}, err
	}
	transmission := time.Duration(len(data)) * time.Second / minRelayRate
	ctx, cancel := context.WithTimeout(ctx, relayTimeout+transmission)
	defer cancel()
	defer time.AfterFunc(relayResponseTime+transmission, to.replaceRoot).Stop()
	response, err := f.config.Relay.Relay(ctx, to.root, data)
	if err != nil {
		return message{}, err
	}
	return decode(response)
}

// forward sends a batch to the peers that its sender delegated to this host. It returns
// those that are not in the membership of this host, which has just started or was cut off.
func (f *Follower) forward(b batch) (skipped []string) {
	byID := make(map[verbenastand.HostID]verbenastand.Host)
	for _, h := range f.others(f.config.Membership.Hosts()) {
		byID[h.ID()] = h
	}
	var peers []verbenastand.Host
	for _, id := range b.forwardTo {
		if h, known := byID[id]; known {
			peers = append(peers, h)
			continue
		}
		skipped = append(skipped, string(id))
	}
	b.forwardTo = nil
	f.sendAll(context.Background(), b, f.subtrees(b, peers))
	return skipped
}

// pull requests the changes that a peer knows and applies them.
func (f *Follower) pull(ctx context.Context, peer verbenastand.Host) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	position := f.Position()
	request, err := marshal(message{Version: messageVersion, Pull: true, Era: uint64(position.Era), After: uint64(position.Revision)})
	if err != nil {
		return
	}
	response, err := f.config.Relay.Relay(ctx, peer, request)
	if err != nil {
		return
	}
	if m, err := decode(response); err == nil && m.Revision > 0 {
		f.apply(m.batch(f.config.Clock.Now()))
	}
}

// HandleMessage handles a message from a peer. It returns the response: the changes
// that the peer requested, or the revision that is known here.
func (f *Follower) HandleMessage(data []byte) ([]byte, error) {
	m, err := decode(data)
	if err != nil {
		return nil, err
	}
	now := f.config.Clock.Now()
	if m.Pull {
		return encode(f.changesSince(verbenastand.Position{Era: verbenastand.Era(m.Era), Revision: verbenastand.Revision(m.After)}), now)
	}
	b := m.batch(now)
	var skipped []string
	if f.apply(b) {
		skipped = f.forward(b)
	}
	response := f.response(m)
	response.Skipped = skipped
	return encodeMessage(response)
}

// response returns this host's position, and the states that it holds if the sender of a
// message at the same position holds others.
func (f *Follower) response(to message) message {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := message{
		Version: messageVersion, Era: uint64(f.era), Revision: uint64(f.revision), HeldDigest: f.heldDigestLocked(),
		Retained: f.retainedLocked(),
	}
	if m.HeldDigest != to.HeldDigest && m.position() == to.position() {
		for _, h := range f.heldChangesLocked() {
			m.Held = append(m.Held, heldRecordOf(h))
		}
	}
	return m
}
