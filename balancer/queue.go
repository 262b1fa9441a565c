package balancer

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"
)

const (
	// checkInterval is the time between two rounds of checks while requests wait; the
	// load that other tenants put on a machine changes within tens of milliseconds.
	checkInterval = 15 * time.Millisecond
	// exploreEvery is the number of rounds of checks of which one disregards whether
	// a server has an idle connection. The others prefer those that have: a new
	// connection costs a server as much as many checks.
	exploreEvery = 6
	// grantWeight is the weight of one grant in the moving average of the time
	// between grants.
	grantWeight = 0.2
	// maxQueue bounds the requests that wait for one service.
	maxQueue = 256
)

// ErrNoCapacity means that no lightly loaded server is expected in time.
var ErrNoCapacity = errors.New("balancer: no lightly loaded server with free capacity in time")

// waiter is a request that waits for a lightly loaded server.
type waiter struct {
	query Query
	// startBy is the latest time at which sending the request is still useful.
	startBy time.Time
	arrived time.Time
	// granted receives the choice, or an empty one if no server takes the request in time.
	granted chan Choice
}

// queue holds the requests of one service that wait at this host. Free capacity is
// found in the load reports of responses, which are the most recent ones available,
// and by health checks.
type queue struct {
	waiters []*waiter
	// checking is set while a goroutine checks servers for the waiters.
	checking bool
	// grantInterval is the moving average of the time between grants while requests
	// wait.
	grantInterval float64
	// lastGrant is the time of the last grant, or of the first request in the queue.
	lastGrant time.Time
}

// Admit returns a lightly loaded or sufficient server for a first attempt and waits for
// a lightly loaded one until startBy. It returns ErrNoCapacity as soon as none is
// expected in time. The choice is then the best server found, or empty if the request
// has waited or other requests are waiting.
func (s *Service) Admit(ctx context.Context, q Query, startBy time.Time) (Choice, error) {
	var best Choice
	if s.Waiting() == 0 {
		choice, err := s.Choose(ctx, q)
		excluded := errors.Is(err, ErrLimited) || errors.Is(err, ErrPaused)
		allowedSoon := excluded && s.clock.Now().Add(s.Wait()).Before(startBy)
		if !allowedSoon && (err != nil || choice.LightlyLoaded || choice.Sufficient) {
			return choice, err
		}
		best = choice
	}
	w := &waiter{query: q, startBy: startBy, arrived: s.clock.Now(), granted: make(chan Choice, 1)}
	if !s.enqueue(w) {
		return best, ErrNoCapacity
	}
	best.Release()
	best.Conn = nil
	timer := time.NewTimer(startBy.Sub(w.arrived))
	defer timer.Stop()
	var err error
	select {
	case choice := <-w.granted:
		return choice.orNoCapacity()
	case <-timer.C:
		err = ErrNoCapacity
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	if s.dequeue(w) {
		return Choice{}, err
	}
	return (<-w.granted).orNoCapacity()
}

// orNoCapacity returns ErrNoCapacity for an empty choice.
func (c Choice) orNoCapacity() (Choice, error) {
	if c.Server == nil {
		return c, ErrNoCapacity
	}
	return c, nil
}

// Waiting returns the number of requests that wait.
func (s *Service) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue.waiters)
}

// enqueue adds a request unless the queue is full or the request is expected to be
// granted a server too late.
func (s *Service) enqueue(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &s.queue
	position, _ := slices.BinarySearchFunc(q.waiters, w, compareWaiters)
	grantInterval := time.Duration(q.grantInterval)
	if grantInterval == 0 {
		grantInterval = s.Expected(w.query.Route) / time.Duration(max(1, len(s.Servers())))
	}
	if len(q.waiters) > 0 {
		grantInterval = max(grantInterval, w.arrived.Sub(q.lastGrant))
	}
	expectedGrant := w.arrived.Add(max(s.Wait(), time.Duration(position+1)*grantInterval))
	if len(q.waiters) >= maxQueue || expectedGrant.After(w.startBy) {
		return false
	}
	if len(q.waiters) == 0 {
		q.lastGrant = w.arrived
	}
	q.waiters = slices.Insert(q.waiters, position, w)
	if !q.checking {
		q.checking = true
		go s.checkServers()
	}
	return true
}

// compareWaiters orders by priority, then by arrival.
func compareWaiters(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.query.Route.PriorityLevel(), b.query.Route.PriorityLevel()), a.arrived.Compare(b.arrived))
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

// grantCapacity assigns the free capacity of a server that has just reported its
// load to waiting requests. The first of them gets conn; without one it is released.
func (s *Service) grantCapacity(server *Server, conn Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &s.queue
	for len(q.waiters) > 0 {
		w := q.waiters[0]
		choice, ok := server.reserve(w.query)
		if !ok {
			break
		}
		choice.Conn, conn = conn, nil
		now := s.clock.Now()
		q.grantInterval += grantWeight * (float64(now.Sub(q.lastGrant)) - q.grantInterval)
		q.lastGrant = now
		q.waiters = q.waiters[1:]
		w.granted <- choice
	}
	if conn != nil {
		conn.Release()
	}
}

// checkServers checks servers until no request waits.
func (s *Service) checkServers() {
	for round := 1; ; round++ {
		s.mu.Lock()
		if len(s.queue.waiters) == 0 {
			s.queue.checking = false
			s.mu.Unlock()
			return
		}
		query := s.queue.waiters[0].query
		s.mu.Unlock()
		candidates, err := s.candidates(query)
		if len(candidates) == 0 {
			s.refuseHopeless(err)
		}
		for _, crossZone := range []bool{false, true} {
			if server := stalestCandidate(candidates, crossZone, round%exploreEvery != 0); server != nil {
				s.checkAndGrant(query, server)
			}
		}
		time.Sleep(checkInterval)
	}
}

// refuseHopeless ends the waiting of the requests that no server takes in time, while all
// servers are excluded for the reason given.
func (s *Service) refuseHopeless(reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	possible := s.clock.Now().Add(s.Wait())
	s.queue.waiters = slices.DeleteFunc(s.queue.waiters, func(w *waiter) bool {
		hopeless := errors.Is(reason, ErrNoServer) || possible.After(w.startBy)
		if hopeless {
			w.granted <- Choice{}
		}
		return hopeless
	})
}

// stalestCandidate returns the preferred candidate with the oldest report, inside or
// outside of the local availability zone. If connectedFirst is set, candidates with
// an idle connection go first.
func stalestCandidate(candidates []candidate, crossZone, connectedFirst bool) *Server {
	var oldest candidate
	for _, c := range candidates {
		if c.tier != tierPreferred || c.crossZone != crossZone {
			continue
		}
		if oldest.server == nil || c.checkBefore(oldest, connectedFirst) {
			oldest = c
		}
	}
	return oldest.server
}

// checkBefore reports whether c should be checked before other.
func (c candidate) checkBefore(other candidate, connectedFirst bool) bool {
	if connectedFirst && c.connected != other.connected {
		return c.connected
	}
	return c.lastReport.Before(other.lastReport)
}

// checkAndGrant checks a server and assigns its free capacity to the waiters.
func (s *Service) checkAndGrant(q Query, server *Server) {
	choice, _, ok := s.evaluate(context.Background(), q, server)
	switch {
	case ok && choice.LightlyLoaded:
		s.grantCapacity(server, choice.Conn)
	case ok:
		choice.Release()
	}
}

// reserve counts a request as about to be sent, if the server is lightly loaded.
func (s *Server) reserve(q Query) (Choice, bool) {
	choice, ok := s.estimate(q, checkInterval)
	if !ok || !choice.LightlyLoaded || !choice.count() {
		return Choice{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved++
	choice.reserved = true
	return choice, true
}

// Release gives up an unused choice.
func (c Choice) Release() {
	if c.Conn != nil {
		c.Conn.Release()
	}
	if c.counted {
		c.Server.limiter().Refund(c.Server.Registration().Process())
	}
	if c.reserved {
		c.Server.mu.Lock()
		defer c.Server.mu.Unlock()
		c.Server.reserved--
	}
}
