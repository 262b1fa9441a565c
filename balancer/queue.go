package balancer

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"
)

const (
	// scoutPeriod is how often a server is looked at for requests that wait;
	// neighbours' noise changes within tens of milliseconds.
	scoutPeriod = 15 * time.Millisecond
	// exploreEvery is the number of rounds of looks in which one goes to servers
	// without a kept connection: a new connection costs a server as much as many looks.
	exploreEvery = 6
	// grantWeight is the weight of one grant in the mean time between grants.
	grantWeight = 0.2
	// maxQueue bounds the requests that wait for one service.
	maxQueue = 256
)

// ErrBusy means that no calm server is expected to have room in time.
var ErrBusy = errors.New("balancer: no calm server has room in time")

// waiter is a request that waits for a calm server.
type waiter struct {
	query Query
	// latest is when a calm server would be too late.
	latest  time.Time
	arrived time.Time
	granted chan Choice
}

// queue holds the requests of one service that wait at this host. Room is found in
// the reports on responses, which are the freshest there are, and by looks.
type queue struct {
	waiters []*waiter
	// scouting is set while a goroutine looks at servers for the waiters.
	scouting bool
	// interval is the mean time between grants while requests wait.
	interval  float64
	grantedAt time.Time
}

// Admit returns a calm server for a first attempt, waiting for one until latest.
// It returns ErrBusy, together with the best server it saw, as soon as it is clear
// that there will be none in time.
func (s *Service) Admit(ctx context.Context, q Query, latest time.Time) (Choice, error) {
	var seen Choice
	if s.Waiting() == 0 {
		choice, err := s.Choose(ctx, q)
		if err != nil || choice.Calm {
			return choice, err
		}
		seen = choice
	}
	w := &waiter{query: q, latest: latest, arrived: s.clock.Now(), granted: make(chan Choice, 1)}
	if !s.enqueue(w) {
		return seen, ErrBusy
	}
	seen.Release()
	seen.Held = nil
	timer := time.NewTimer(latest.Sub(w.arrived))
	defer timer.Stop()
	var err error
	select {
	case choice := <-w.granted:
		return choice, nil
	case <-timer.C:
		err = ErrBusy
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	if s.dequeue(w) {
		return Choice{}, err
	}
	return <-w.granted, nil
}

// Waiting returns the number of requests that wait.
func (s *Service) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue.waiters)
}

// enqueue adds a request unless its turn is not expected to come in time.
func (s *Service) enqueue(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &s.queue
	position, _ := slices.BinarySearchFunc(q.waiters, w, compareWaiters)
	interval := time.Duration(q.interval)
	if interval == 0 {
		interval = s.Expected(w.query.Route) / time.Duration(max(1, len(s.Servers())))
	}
	if len(q.waiters) > 0 {
		interval = max(interval, w.arrived.Sub(q.grantedAt))
	}
	turn := w.arrived.Add(time.Duration(position+1) * interval)
	if len(q.waiters) >= maxQueue || turn.After(w.latest) {
		return false
	}
	if len(q.waiters) == 0 {
		q.grantedAt = w.arrived
	}
	q.waiters = slices.Insert(q.waiters, position, w)
	if !q.scouting {
		q.scouting = true
		go s.scout()
	}
	return true
}

// compareWaiters orders by urgency, then by arrival.
func compareWaiters(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.query.Route.Rank(), b.query.Route.Rank()), a.arrived.Compare(b.arrived))
}

func (s *Service) dequeue(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.queue.waiters, w)
	if i < 0 {
		return false
	}
	s.queue.waiters = slices.Delete(s.queue.waiters, i, i+1)
	return true
}

// offer gives the room of a server that was just seen to those that wait.
func (s *Service) offer(server *Server, held Held) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &s.queue
	for len(q.waiters) > 0 {
		w := q.waiters[0]
		choice, ok := server.reserve(w.query)
		if !ok {
			break
		}
		choice.Held, held = held, nil
		now := s.clock.Now()
		q.interval += grantWeight * (float64(now.Sub(q.grantedAt)) - q.interval)
		q.grantedAt = now
		q.waiters = q.waiters[1:]
		w.granted <- choice
	}
	if held != nil {
		held.Release()
	}
}

// scout looks at servers while requests wait.
func (s *Service) scout() {
	for round := 1; ; round++ {
		s.mu.Lock()
		if len(s.queue.waiters) == 0 {
			s.queue.scouting = false
			s.mu.Unlock()
			return
		}
		query := s.queue.waiters[0].query
		s.mu.Unlock()
		candidates := s.candidates(query)
		for _, foreign := range []bool{false, true} {
			if server := longestUnseen(candidates, foreign, round%exploreEvery != 0); server != nil {
				s.look(query, server)
			}
		}
		time.Sleep(scoutPeriod)
	}
}

// longestUnseen returns the usual candidate, in the own availability zone or
// outside of it, whose report is the oldest, among connected ones if there are any
// and they go first.
func longestUnseen(candidates []candidate, foreign, connectedFirst bool) *Server {
	var oldest candidate
	for _, c := range candidates {
		if c.bucket != bucketUsual || c.foreign != foreign {
			continue
		}
		if oldest.server == nil || c.unseenBefore(oldest, connectedFirst) {
			oldest = c
		}
	}
	return oldest.server
}

// unseenBefore reports whether a look at c goes before one at other.
func (c candidate) unseenBefore(other candidate, connectedFirst bool) bool {
	if connectedFirst && c.connected != other.connected {
		return c.connected
	}
	return c.seenAt.Before(other.seenAt)
}

// look offers the room of a server to the waiters if it has any.
func (s *Service) look(q Query, server *Server) {
	choice, _, ok := s.inspect(context.Background(), q, server)
	switch {
	case ok && choice.Calm:
		s.offer(server, choice.Held)
	case ok:
		choice.Release()
	}
}

// reserve counts a request that is about to be sent, if the server is calm.
func (s *Server) reserve(q Query) (Choice, bool) {
	choice, ok := s.judge(q, scoutPeriod)
	if !ok || !choice.Calm {
		return Choice{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved++
	choice.reserved = true
	return choice, true
}

// Release gives up a choice that is not used.
func (c Choice) Release() {
	if c.Held != nil {
		c.Held.Release()
	}
	if c.reserved {
		c.Server.mu.Lock()
		defer c.Server.mu.Unlock()
		c.Server.reserved--
	}
}
