package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	// watchWait is how long one watch waits for a change. A watch that stalls is
	// abandoned within three seconds, the time that the operators allow after a
	// disturbance of the store.
	watchWait = 2 * time.Second
	// watchMargin is how long a watch may take beyond its wait before it counts as
	// lost.
	watchMargin = 500 * time.Millisecond
	// revisionCheckInterval is how often a reader requests the newest position while
	// its watch waits: the response confirms that the store is reachable, and reveals
	// a watch that has stalled. Such a request costs a tenth of a watch.
	revisionCheckInterval = 900 * time.Millisecond
	// revisionCheckTimeout bounds one request for the newest position.
	revisionCheckTimeout = 400 * time.Millisecond
	// watchStallTimeout is how long a watch may fail to return a revision that is
	// known to exist.
	watchStallTimeout = 150 * time.Millisecond
	// slowResponseTime is how long a response of the store may take to arrive: a large
	// table takes this long on a 10 Mbit/s link that also carries the requests of
	// callers.
	slowResponseTime = time.Second
	// listTimeout bounds a list of all objects.
	listTimeout = 1500 * time.Millisecond
	// coalesceDelay follows a watch that returned changes, so that changes in quick
	// succession cost one call. It is a small part of the two seconds within which a
	// change must take effect.
	coalesceDelay = 150 * time.Millisecond
	// secondReaderDelay is the same for the second reader, which receives changes from
	// the first and is needed only if that one fails.
	secondReaderDelay = 500 * time.Millisecond
	// maxStaleness is the staleness above which the first standby host, that of rank
	// zero, reads the store itself. rankDelay is added for each further rank.
	maxStaleness = 1300 * time.Millisecond
	rankDelay    = 60 * time.Millisecond
	// maxRankDelay bounds the delay of the hosts with the highest ranks.
	maxRankDelay = 600 * time.Millisecond
	// standbyInterval is how often a host that does not read checks whether it should.
	standbyInterval = 40 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 60 * time.Millisecond
	maxBackoff = time.Second
	// eagerStandbys is the number of standby hosts that retry as often as the readers
	// while these deliver no confirmation. standbyMinBackoff and standbyMaxBackoff
	// bound the pauses of the other standby hosts: they learn from the eager ones that
	// the store is available again.
	eagerStandbys     = 2
	standbyMinBackoff = 600 * time.Millisecond
	standbyMaxBackoff = 3 * time.Second
	// relayTimeout bounds a short message to a peer.
	relayTimeout = 600 * time.Millisecond
	// relayResponseTime is how long a peer usually takes to respond to a short message. A host
	// that takes longer is slow or gone, and another one forwards in its place.
	relayResponseTime = 250 * time.Millisecond
	// maxReplacements bounds the hosts that take the place of one that does not forward.
	maxReplacements = 3
	// minRelayRate is the rate, in bytes per second, below which a longer message is
	// abandoned: a tenth of a 10 Mbit/s link.
	minRelayRate = 125_000
	// fanOut is the number of peers to which a host sends a large batch. With it, a
	// batch reaches 129 hosts in three zones in three hops.
	fanOut = 6
	// largeBatchSize is the number of objects and routes above which a batch is large;
	// compressed, each takes about 20 bytes.
	largeBatchSize = 100
	// maxEncodings bounds the encoded changes that are kept for other peers.
	maxEncodings = 4
	// pullTimeout bounds the request of a starting host to a peer.
	pullTimeout = 300 * time.Millisecond
	// maxDirectHosts is the largest number of hosts with which readers send to every
	// host directly.
	maxDirectHosts = 24
	// relayOrderKey determines the order of the hosts that forward changes in their
	// zones.
	relayOrderKey = "configuration-relay"
	// readerOrderKey determines the order of the readers.
	readerOrderKey = "configuration-store"
)

// Run keeps the local copy up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var backoff time.Duration
	reading := false
	f.awaitFirstList(ctx)
	for ctx.Err() == nil {
		shouldRead := f.shouldRead()
		if shouldRead != reading {
			reading = shouldRead
			f.config.OnEvent(Event{Name: readingEvent(shouldRead), Position: f.Position(), Staleness: f.Staleness()})
		}
		if !shouldRead {
			backoff = 0
			sleep(ctx, standbyInterval)
			continue
		}
		changed, err := f.read(ctx)
		switch {
		case err != nil && ctx.Err() == nil:
			f.config.OnEvent(Event{Name: "storeCallFailed", Position: f.Position(), Staleness: f.Staleness(), Err: err})
			backoff = f.nextBackoff(backoff)
			sleep(ctx, backoff/2+rand.N(backoff))
		case changed:
			backoff = 0
			sleep(ctx, f.coalesceDelay())
		default:
			backoff = 0
		}
	}
}

// nextBackoff returns the mean pause after a failed call, given the previous one.
func (f *Follower) nextBackoff(last time.Duration) time.Duration {
	shortest, longest := minBackoff, maxBackoff
	if f.rank() >= eagerStandbys {
		shortest, longest = standbyMinBackoff, standbyMaxBackoff
	}
	return min(max(2*last, shortest), longest)
}

// coalesceDelay returns the pause of this host after a watch that returned
// changes.
func (f *Follower) coalesceDelay() time.Duration {
	if f.rank() == -readers {
		return coalesceDelay
	}
	return secondReaderDelay
}

func readingEvent(reading bool) string {
	if reading {
		return "readingStore"
	}
	return "readingPeers"
}

// read lists all objects if none are known, and otherwise watches for changes. It
// relays the result.
func (f *Follower) read(ctx context.Context) (changed bool, err error) {
	if f.mustList() {
		return f.list(ctx, false)
	}
	return f.watch(ctx)
}

// watchResult is the result of a watch.
type watchResult struct {
	changes  []verbenastand.Change
	position verbenastand.Position
	err      error
}

// errWatchStalled is returned if no watch returns changes that are known to exist.
var errWatchStalled = errors.New("follower: the watches did not return a revision that exists")

// maxWatches is the number of concurrent watches: a second one starts if the first
// does not return a newer revision, since its response may be lost or merely
// large.
const maxWatches = 2

// watch waits for changes, and meanwhile confirms to the peers that the store is
// still reachable.
func (f *Follower) watch(ctx context.Context) (changed bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	after := f.Position()
	results := make(chan watchResult, maxWatches)
	if f.Staleness() > maxStaleness {
		// Confirms the position to the peers, so that they do not read as well.
		newest, err := f.checkPosition(ctx, after)
		if err != nil {
			return false, err
		}
		if newest.Era > after.Era {
			return f.list(ctx, false)
		}
	}
	f.startWatch(ctx, after.Revision, results)
	waiting, started := 1, 1
	check := time.NewTicker(revisionCheckInterval)
	defer check.Stop()
	var stallTimer <-chan time.Time
	for {
		select {
		case r := <-results:
			waiting--
			if r.err == nil || waiting == 0 {
				return f.handleWatchResult(ctx, after, r)
			}
		case <-check.C:
			newest, err := f.checkPosition(ctx, after)
			if err != nil {
				return false, err
			}
			if newest.Era > after.Era {
				return f.list(ctx, false)
			}
			if after.Before(newest) && stallTimer == nil {
				stallTimer = time.After(watchStallTimeout)
			}
		case <-stallTimer:
			if started == maxWatches {
				return false, errWatchStalled
			}
			f.startWatch(ctx, after.Revision, results)
			waiting++
			started++
			stallTimer = time.After(slowResponseTime)
		}
	}
}

func (f *Follower) startWatch(ctx context.Context, after verbenastand.Revision, results chan<- watchResult) {
	f.countCall()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
		defer cancel()
		changes, position, err := f.config.Store.Watch(ctx, after, watchWait)
		results <- watchResult{changes, position, err}
	}()
}

func (f *Follower) handleWatchResult(ctx context.Context, after verbenastand.Position, r watchResult) (changed bool, err error) {
	if errors.Is(r.err, verbenastand.ErrHistoryGone) {
		return f.list(context.WithoutCancel(ctx), false)
	}
	if r.err != nil {
		return false, r.err
	}
	if r.position.Era != after.Era {
		// The changes follow another revision of the same number.
		return f.list(context.WithoutCancel(ctx), false)
	}
	b := batch{changes: r.changes, era: after.Era, after: after.Revision, revision: r.position.Revision, confirmedAt: f.confirmationTime(f.config.Clock.Now().Add(-maxResponseAge))}
	f.apply(b)
	f.broadcast(ctx, b)
	return len(r.changes) > 0, nil
}

// checkPosition requests the newest position from the store, and sends the
// confirmation to the peers if nothing is newer.
func (f *Follower) checkPosition(ctx context.Context, after verbenastand.Position) (verbenastand.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, revisionCheckTimeout)
	defer cancel()
	started := f.config.Clock.Now()
	f.countCall()
	newest, err := f.config.Store.NewestPosition(ctx)
	if err != nil {
		return newest, err
	}
	if newest.Era < after.Era {
		return newest, errEarlierEra
	}
	if known := f.newestKnown(); newest.Before(known) {
		newest = known
	}
	if after.Before(newest) {
		return newest, nil
	}
	b := batch{era: after.Era, after: after.Revision, revision: after.Revision, confirmedAt: f.confirmationTime(started)}
	f.apply(b)
	f.broadcast(ctx, b)
	return newest, nil
}

// maxResponseAge bounds the assumed age of a response when it arrives.
const maxResponseAge = 200 * time.Millisecond

// confirmationTime returns the time up to which a response that arrives now
// confirms a revision: the start of the call, or maxResponseAge ago if the call
// took longer.
func (f *Follower) confirmationTime(started time.Time) time.Time {
	now := f.config.Clock.Now()
	return now.Add(-min(now.Sub(started), maxResponseAge))
}

// errEarlierEra means that the store answered from an era before the one that is known.
var errEarlierEra = errors.New("follower: the store answered from an earlier era")

// list reads all objects and relays them. A stale list does not confirm that the
// view is current and is not relayed; it is used only while nothing else is known.
func (f *Follower) list(ctx context.Context, stale bool) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	started := f.config.Clock.Now()
	f.countCall()
	snapshot, err := f.config.Store.List(ctx, stale, f.applyPart)
	if err != nil {
		return false, err
	}
	if stale {
		f.applyProvisional(snapshot)
		return true, nil
	}
	b := batch{changes: snapshot.Changes, full: true, era: snapshot.Position.Era, revision: snapshot.Position.Revision, confirmedAt: started}
	if !f.apply(b) {
		return false, errEarlierEra
	}
	b.held = f.heldChanges()
	f.broadcast(ctx, b)
	return true, nil
}

func (f *Follower) countCall() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeCalls++
}

// StoreCalls returns the number of calls to the store.
func (f *Follower) StoreCalls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeCalls
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
