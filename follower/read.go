package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	// watchWait is how long one watch waits for a change. One that hears nothing is
	// given up within the three seconds in which operators expect nothing of a store
	// that was disturbed.
	watchWait = 2 * time.Second
	// watchSlack is what a watch may take beyond its wait before it counts as lost.
	watchSlack = 500 * time.Millisecond
	// checkPeriod is how often a reader asks for the newest revision while its
	// watch waits: the answer proves that the store is reached, and shows a watch
	// that hears nothing. It costs a tenth of a watch.
	checkPeriod = 900 * time.Millisecond
	// checkTimeout bounds one such question.
	checkTimeout = 400 * time.Millisecond
	// deafTime is how long a watch may stay silent about a revision that is known
	// to exist.
	deafTime = 150 * time.Millisecond
	// longAnswer is how long an answer of the store may be on its way: a large table
	// takes this long on a link of 10 Mbit/s that calls use as well.
	longAnswer = time.Second
	// listTimeout bounds a list of all objects.
	listTimeout = 1500 * time.Millisecond
	// gatherPause follows a watch that brought changes, so that changes in quick
	// succession cost one call. It is a small part of the two seconds in which a
	// change has to be in force.
	gatherPause = 150 * time.Millisecond
	// secondPause is the same for the second reader, which hears of changes from the
	// first and is needed only without it.
	secondPause = 500 * time.Millisecond
	// staleAge is the age of the proof from which on a host reads by itself, the
	// first in rank first, and rankDelay the further age for each rank.
	staleAge  = 1300 * time.Millisecond
	rankDelay = 60 * time.Millisecond
	// longestRankDelay bounds the wait of the last in rank.
	longestRankDelay = 600 * time.Millisecond
	// idlePause is how often a host that does not read looks whether it should.
	idlePause = 40 * time.Millisecond
	// firstBackoff and longestBackoff bound the pause after a failed call.
	firstBackoff   = 60 * time.Millisecond
	longestBackoff = time.Second
	// firstDeputies is the number of hosts that try as often as the readers while
	// these bring no proof; lateFirstBackoff and lateLongestBackoff bound the pauses of
	// the others, which hear of the store's return from them.
	firstDeputies      = 2
	lateFirstBackoff   = 600 * time.Millisecond
	lateLongestBackoff = 3 * time.Second
	// relayTimeout bounds a short message to a peer.
	relayTimeout = 600 * time.Millisecond
	// slowestRelay is the rate, in bytes per second, below which a longer message
	// is given up: a tenth of a link of 10 Mbit/s.
	slowestRelay = 125_000
	// fanOut is the number of peers that a host sends a large batch to; with it 129
	// hosts in three zones are reached in three steps.
	fanOut = 6
	// largeBatch is the number of objects and routes from which on a batch is large;
	// compressed, each takes about 20 bytes.
	largeBatch = 100
	// askTimeout bounds the question to a peer of a host that starts.
	askTimeout = 300 * time.Millisecond
	// directHosts is the size of a fleet up to which readers tell every host.
	directHosts = 24
	// relaysKey makes the order of the hosts that pass news on in their zones.
	relaysKey = "configuration-relay"
	// readersKey makes the order of the readers.
	readersKey = "configuration-store"
)

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var backoff time.Duration
	reading := false
	for ctx.Err() == nil {
		due := f.due()
		if due != reading {
			reading = due
			f.config.OnEvent(Event{What: readingEvent(due), Revision: f.Revision(), Age: f.Age()})
		}
		if !due {
			backoff = 0
			pause(ctx, idlePause)
			continue
		}
		changed, err := f.read(ctx)
		switch {
		case err != nil && ctx.Err() == nil:
			f.config.OnEvent(Event{What: "storeCallFailed", Revision: f.Revision(), Age: f.Age(), Err: err})
			backoff = f.nextBackoff(backoff)
			pause(ctx, backoff/2+rand.N(backoff))
		case changed:
			backoff = 0
			pause(ctx, f.gatherPause())
		default:
			backoff = 0
		}
	}
}

// nextBackoff returns the mean pause after a failed call, given the one before it.
func (f *Follower) nextBackoff(last time.Duration) time.Duration {
	first, longest := firstBackoff, longestBackoff
	if f.rank() >= firstDeputies {
		first, longest = lateFirstBackoff, lateLongestBackoff
	}
	return min(max(2*last, first), longest)
}

// gatherPause returns the pause of this host after a watch that brought changes.
func (f *Follower) gatherPause() time.Duration {
	if f.rank() == -readers {
		return gatherPause
	}
	return secondPause
}

func readingEvent(reading bool) string {
	if reading {
		return "readingStore"
	}
	return "readingPeers"
}

// Bootstrap learns the state from the store and from the peers at once, and
// returns when either has given a route table or ctx ends.
func (f *Follower) Bootstrap(ctx context.Context, peers []verbenastand.Host) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	known := make(chan struct{}, len(peers)+1)
	for _, p := range peers {
		go func() {
			f.ask(ctx, p)
			known <- struct{}{}
		}()
	}
	go func() {
		f.listOnce(ctx)
		known <- struct{}{}
	}()
	for range len(peers) + 1 {
		select {
		case <-known:
		case <-ctx.Done():
			return
		}
		if f.Known() {
			return
		}
	}
}

// listOnce lists all objects, again only if the store did not answer.
func (f *Follower) listOnce(ctx context.Context) {
	for ctx.Err() == nil {
		_, err := f.list(ctx, true)
		if err == nil {
			return
		}
		f.config.OnEvent(Event{What: "storeCallFailed", Age: f.Age(), Err: err})
		pause(ctx, firstBackoff)
	}
}

// read makes one call to the store and relays what it brings.
func (f *Follower) read(ctx context.Context) (changed bool, err error) {
	if f.Revision() == 0 {
		return f.list(ctx, false)
	}
	return f.watch(ctx)
}

// heard is what a watch returned.
type heard struct {
	changes  []verbenastand.Change
	revision verbenastand.Revision
	err      error
}

// errDeaf ends watches that do not tell of changes that exist.
var errDeaf = errors.New("follower: the watches heard nothing of a newer revision")

// maxWatches is the number of watches that wait side by side: a second one starts
// if the first is silent about a newer revision, since its answer may be lost or
// only large.
const maxWatches = 2

// watch waits for changes, and proves to the peers meanwhile that the store is
// still reached.
func (f *Follower) watch(ctx context.Context) (changed bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	after := f.Revision()
	results := make(chan heard, maxWatches)
	if f.Age() > staleAge {
		// Tells the peers that they need not read as well.
		if _, err := f.check(ctx, after); err != nil {
			return false, err
		}
	}
	f.listen(ctx, after, results)
	waiting, started := 1, 1
	check := time.NewTicker(checkPeriod)
	defer check.Stop()
	var deaf <-chan time.Time
	for {
		select {
		case h := <-results:
			waiting--
			if h.err == nil || waiting == 0 {
				return f.takeHeard(ctx, after, h)
			}
		case <-check.C:
			newest, err := f.check(ctx, after)
			if err != nil {
				return false, err
			}
			if newest > after && deaf == nil {
				deaf = time.After(deafTime)
			}
		case <-deaf:
			if started == maxWatches {
				return false, errDeaf
			}
			f.listen(ctx, after, results)
			waiting++
			started++
			deaf = time.After(longAnswer)
		}
	}
}

// listen starts a watch.
func (f *Follower) listen(ctx context.Context, after verbenastand.Revision, results chan<- heard) {
	f.count()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
		defer cancel()
		changes, revision, err := f.config.Store.Watch(ctx, after, watchWait)
		results <- heard{changes, revision, err}
	}()
}

func (f *Follower) takeHeard(ctx context.Context, after verbenastand.Revision, h heard) (changed bool, err error) {
	if errors.Is(h.err, verbenastand.ErrHistoryGone) {
		return f.list(context.WithoutCancel(ctx), false)
	}
	if h.err != nil {
		return false, h.err
	}
	b := batch{changes: h.changes, after: after, revision: h.revision, provedAt: f.provedBy(f.config.Clock.Now().Add(-maxAnswerAge))}
	f.apply(b)
	f.spread(ctx, b)
	return len(h.changes) > 0, nil
}

// check asks the store for its newest revision, and tells the peers that it
// answered if there is nothing new.
func (f *Follower) check(ctx context.Context, after verbenastand.Revision) (verbenastand.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	started := f.config.Clock.Now()
	f.count()
	newest, err := f.config.Store.Newest(ctx)
	newest = max(newest, f.newestKnown())
	if err != nil || newest > after {
		return newest, err
	}
	b := batch{after: after, revision: after, provedAt: f.provedBy(started)}
	f.apply(b)
	f.spread(ctx, b)
	return newest, nil
}

// maxAnswerAge is how old an answer of the store may be when it arrives.
const maxAnswerAge = 200 * time.Millisecond

// provedBy returns the time that an answer which arrives now speaks of.
func (f *Follower) provedBy(started time.Time) time.Time {
	now := f.config.Clock.Now()
	return now.Add(-min(now.Sub(started), maxAnswerAge))
}

// list takes over all objects. A stale list proves nothing of the present.
func (f *Follower) list(ctx context.Context, stale bool) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	started := f.config.Clock.Now()
	f.count()
	snapshot, err := f.config.Store.List(ctx, stale)
	if err != nil {
		return false, err
	}
	b := batch{changes: snapshot.Changes, whole: true, revision: snapshot.Revision, provedAt: started}
	if stale {
		b.provedAt = time.Time{}
	}
	f.apply(b)
	if !stale {
		f.spread(ctx, b)
	}
	return true, nil
}

func (f *Follower) count() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
}

// Calls returns the number of calls to the store.
func (f *Follower) Calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
