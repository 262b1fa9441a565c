// Package watcher keeps the current configuration up to date. It long-polls the
// platform for change tickets and fetches them from peers that have newer ones.
package watcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/merger"
)

const (
	// longPollTimeout is how long one read of the platform may stay open.
	longPollTimeout = 20 * time.Second
	// overlap is how many ticket numbers below the highest known one are read
	// again, to find tickets that were published out of order.
	overlap = 64
	// fullInterval is the time between two reads of all tickets.
	fullInterval = time.Minute
	minBackoff   = 200 * time.Millisecond
	maxBackoff   = 5 * time.Second
	fetchTimeout = 2 * time.Second
)

// Config configures a Watcher.
type Config struct {
	Platform verbenastand.TicketSource
	Merger   *merger.Merger
	// OnError is called after a failed read or an invalid ticket; it may be nil.
	OnError func(source string, err error)
}

// Watcher reads tickets and merges them.
type Watcher struct {
	config Config

	mu       sync.Mutex
	fetching map[verbenastand.HostID]bool
	reads    uint64
}

// NewWatcher returns a watcher that does nothing until Run is called.
func NewWatcher(c Config) *Watcher {
	if c.OnError == nil {
		c.OnError = func(string, error) {}
	}
	return &Watcher{config: c, fetching: make(map[verbenastand.HostID]bool)}
}

// Reads returns the number of reads of the platform.
func (w *Watcher) Reads() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reads
}

// Bootstrap reads all tickets once from the platform and from each peer, so that a
// starting host has current tickets even if the platform is stale. It returns once
// all have responded or ctx ends, and reports whether any read succeeded.
func (w *Watcher) Bootstrap(ctx context.Context, peers []verbenastand.TicketSource) bool {
	sources := append([]verbenastand.TicketSource{w.config.Platform}, peers...)
	results := make(chan bool, len(sources))
	for i, source := range sources {
		go func() {
			name := "peer"
			if i == 0 {
				name = "platform"
				w.countRead()
			}
			results <- w.fetch(ctx, name, source, 0, 0) == nil
		}()
	}
	succeeded := false
	for range sources {
		select {
		case ok := <-results:
			succeeded = succeeded || ok
		case <-ctx.Done():
			return succeeded
		}
	}
	return succeeded
}

func (w *Watcher) countRead() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reads++
}

func (w *Watcher) fetch(ctx context.Context, name string, s verbenastand.TicketSource, after verbenastand.TicketNumber, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+fetchTimeout)
	defer cancel()
	encoded, err := s.Tickets(ctx, after, wait)
	if err != nil {
		w.config.OnError(name, err)
		return err
	}
	if _, err := w.config.Merger.MergeEncoded(encoded); err != nil {
		w.config.OnError(name, err)
	}
	return nil
}

// Run reads the platform until ctx ends, one read at a time.
func (w *Watcher) Run(ctx context.Context) {
	backoff := minBackoff
	lastFull := time.Now()
	for ctx.Err() == nil {
		after := overlapStart(w.config.Merger.Configuration().Number())
		wait := longPollTimeout
		if time.Since(lastFull) > fullInterval {
			after, wait = 0, 0
			lastFull = time.Now()
		}
		w.countRead()
		if err := w.fetch(ctx, "platform", w.config.Platform, after, wait); err != nil {
			sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
	}
}

// FetchFrom fetches newer tickets from a peer unless a fetch from it is already in
// progress. Number is the newest ticket of the peer; if it is not above this
// host's, all tickets are read, because an older one is missing or differs.
func (w *Watcher) FetchFrom(id verbenastand.HostID, s verbenastand.TicketSource, number verbenastand.TicketNumber) {
	w.mu.Lock()
	inProgress := w.fetching[id]
	w.fetching[id] = true
	w.mu.Unlock()
	if inProgress {
		return
	}
	defer func() {
		w.mu.Lock()
		delete(w.fetching, id)
		w.mu.Unlock()
	}()
	current := w.config.Merger.Configuration().Number()
	after := verbenastand.TicketNumber(0)
	if number > current {
		after = overlapStart(current)
	}
	_ = w.fetch(context.Background(), "peer", s, after, 0)
}

// overlapStart returns the ticket number above which tickets are read again.
func overlapStart(n verbenastand.TicketNumber) verbenastand.TicketNumber {
	if n < overlap {
		return 0
	}
	return n - overlap
}

func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
