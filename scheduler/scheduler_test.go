package scheduler_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/estimator"
	"github.com/verbenastand/verbenastand/internal/fake"
	"github.com/verbenastand/verbenastand/scheduler"
	"github.com/verbenastand/verbenastand/verifier"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	verifier.SetStrict(true)
}

const (
	mean      = 10 * time.Millisecond
	fakeSlots = 6
)

var self = verbenastand.NewHost(verbenastand.HostConfig{Instance: verbenastand.NewInstance("host-a", 1), Zone: "zone-a"})

func newScheduler(clock verbenastand.Clock, maxQueue int) *scheduler.Scheduler {
	return scheduler.NewScheduler(scheduler.Config{
		Clock: clock, Self: self, MaxQueue: maxQueue, Expected: func() time.Duration { return mean },
	})
}

func service(longSlots int) verbenastand.Service {
	return verbenastand.NewService(verbenastand.ServiceConfig{Name: "s", Timeout: time.Second, LongSlots: longSlots, Homes: 1})
}

func servers(n int, c verbenastand.ServerConfig) []verbenastand.Server {
	var all []verbenastand.Server
	for i := range n {
		c.ID, c.Service, c.Zone, c.Address = verbenastand.ServerID(fmt.Sprint("server-", i)), "s", "zone-a", fmt.Sprintf("127.0.0.1:%d", i+1)
		if c.Slots == 0 {
			c.Slots = fakeSlots
		}
		all = append(all, verbenastand.NewServer(c))
	}
	return all
}

func newWaiter(clock verbenastand.Clock, size verbenastand.Size) *scheduler.Waiter {
	return &scheduler.Waiter{
		Priority: verbenastand.PriorityNormal, Size: size, Expected: mean,
		Deadline: clock.Now().Add(time.Second), Notify: func() {},
	}
}

// completeSlowStart completes slow start for every server.
func completeSlowStart(t require.TestingT, clock *fake.Clock, s *scheduler.Scheduler) {
	for range fakeSlots {
		var grants []scheduler.Grant
		w := newWaiter(clock, verbenastand.Short)
		for ; s.Submit(w); w = newWaiter(clock, verbenastand.Short) {
			grant, err := w.Grant()
			require.NoError(t, err)
			grants = append(grants, grant)
		}
		require.True(t, s.Cancel(w))
		for _, g := range grants {
			s.Release(g, estimator.Succeeded, scheduler.NoReport)
		}
	}
}

// Requests of all sizes and priorities are submitted, released with every result
// and cancelled, mixed with load reports, drain notices, tickets and process
// pauses. The invariants checked inside the scheduler must hold, every waiter must
// be granted, refused or cancelled exactly once, and no slot may be leaked or
// granted twice.
func TestSchedulerKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := fake.NewClock()
		s := newScheduler(clock, 6)
		ticket := verbenastand.TicketNumber(1)
		list := servers(3, verbenastand.ServerConfig{Ticket: ticket})
		homes := []verbenastand.Host{self}
		s.Update(service(2), list, homes)
		var grants []scheduler.Grant
		outcomes := make(map[*scheduler.Waiter]int)
		queued := make(map[*scheduler.Waiter]bool)
		record := func(w *scheduler.Waiter) {
			outcomes[w]++
			if outcomes[w] > 1 {
				t.Fatalf("a waiter was granted or refused twice")
			}
			delete(queued, w)
			if grant, err := w.Grant(); err == nil {
				grants = append(grants, grant)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				w := newWaiter(clock, verbenastand.Size(rapid.IntRange(0, 1).Draw(t, "size")))
				w.Priority = verbenastand.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
				w.Deadline = clock.Now().Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				w.Notify = func() { record(w) }
				if s.Submit(w) {
					record(w)
				} else {
					queued[w] = true
				}
			},
			"release": func(t *rapid.T) {
				if len(grants) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(grants)-1).Draw(t, "grant")
				grant := grants[i]
				grants = append(grants[:i], grants[i+1:]...)
				report := scheduler.Report{
					InFlight: rapid.IntRange(-1, 12).Draw(t, "load"), Draining: rapid.IntRange(0, 9).Draw(t, "draining") == 0,
					Instance: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "instance"),
				}
				s.Release(grant, estimator.Result(rapid.IntRange(0, 3).Draw(t, "result")), report)
			},
			"cancel": func(t *rapid.T) {
				for w := range queued {
					if s.Cancel(w) {
						outcomes[w]++
						delete(queued, w)
					}
					return
				}
			},
			"notice": func(t *rapid.T) {
				s.ApplyDrainNotice(scheduler.DrainNotice{Server: "server-1", Ticket: ticket})
			},
			"ticket": func(t *rapid.T) {
				ticket++
				state := verbenastand.ServerState(rapid.IntRange(0, 1).Draw(t, "state"))
				s.Update(service(2), servers(rapid.IntRange(0, 4).Draw(t, "servers"), verbenastand.ServerConfig{Ticket: ticket, State: state}), homes)
			},
			"time": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
				s.Tick(clock.Now())
			},
			"pause": func(t *rapid.T) {
				clock.Advance(10 * time.Second)
				s.Invalidate()
			},
			"": func(t *rapid.T) {
				status := s.Status()
				if status.Queued != len(queued) {
					t.Fatalf("%d queued, want %d", status.Queued, len(queued))
				}
				inFlight := 0
				for _, e := range status.Servers {
					inFlight += e.InFlight
				}
				if inFlight > len(grants) {
					t.Fatalf("%d in flight, %d grants held", inFlight, len(grants))
				}
			},
		})
	})
}

func TestLongRequestsDoNotBlockShortRequests(t *testing.T) {
	clock := fake.NewClock()
	s := newScheduler(clock, 0)
	s.Update(service(2), servers(2, verbenastand.ServerConfig{}), []verbenastand.Host{self})
	completeSlowStart(t, clock, s)
	long := 0
	for range 20 {
		if w := newWaiter(clock, verbenastand.Long); s.Submit(w) {
			long++
		}
	}
	require.Equal(t, 4, long, "two slots of each of two servers")
	short := 0
	for range 20 {
		if w := newWaiter(clock, verbenastand.Short); s.Submit(w) {
			short++
		}
	}
	require.Equal(t, 8, short)
}

func TestDrainingServerGetsNoRequestsUntilNewTicketOrInstance(t *testing.T) {
	cases := []struct {
		name     string
		announce func(*scheduler.Scheduler, scheduler.Grant)
	}{
		{"from the server", func(s *scheduler.Scheduler, g scheduler.Grant) {
			_, isNew := s.Release(g, estimator.Succeeded, scheduler.Report{InFlight: -1, Instance: "x", Draining: true})
			require.True(t, isNew)
		}},
		{"from a peer", func(s *scheduler.Scheduler, g scheduler.Grant) {
			require.True(t, s.ApplyDrainNotice(scheduler.DrainNotice{Server: "server-0", Ticket: 1, Instance: "x"}))
			s.Release(g, estimator.Succeeded, scheduler.Report{InFlight: -1, Instance: "x"})
		}},
		{"from a ticket", func(s *scheduler.Scheduler, g scheduler.Grant) {
			s.Update(service(0), servers(1, verbenastand.ServerConfig{Ticket: 1, Slots: 1, State: verbenastand.ServerDraining}), []verbenastand.Host{self})
			s.Release(g, estimator.Succeeded, scheduler.Report{InFlight: -1, Instance: "x"})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := fake.NewClock()
			s := newScheduler(clock, 0)
			s.Update(service(0), servers(1, verbenastand.ServerConfig{Ticket: 1, Slots: 1}), []verbenastand.Host{self})
			w := newWaiter(clock, verbenastand.Short)
			require.True(t, s.Submit(w))
			grant, err := w.Grant()
			require.NoError(t, err)
			queued := newWaiter(clock, verbenastand.Short)
			require.False(t, s.Submit(queued), "the server takes one request")
			c.announce(s, grant)
			_, err = queued.Grant()
			require.NoError(t, err)
			require.Zero(t, s.Status().Servers[0].InFlight, "the queued request was sent to the draining server")
			s.Invalidate()
			clock.Advance(time.Minute)
			s.Tick(clock.Now())
			require.False(t, s.ApplyDrainNotice(scheduler.DrainNotice{Server: "server-0", Ticket: 0}), "an older notice is ignored")
			s.Update(service(0), servers(1, verbenastand.ServerConfig{Ticket: 2, Slots: 1}), []verbenastand.Host{self})
			require.True(t, s.Submit(newWaiter(clock, verbenastand.Short)), "a newer ticket cancels the notice")
		})
	}
}

func TestEjectionOfMostServersFallsBackToAll(t *testing.T) {
	clock := fake.NewClock()
	s := newScheduler(clock, 0)
	s.Update(service(0), servers(4, verbenastand.ServerConfig{}), []verbenastand.Host{self})
	failures := 0
	for range 200 {
		clock.Advance(mean)
		s.Tick(clock.Now())
		w := newWaiter(clock, verbenastand.Short)
		if !s.Submit(w) {
			require.True(t, s.Cancel(w))
			continue
		}
		grant, err := w.Grant()
		require.NoError(t, err)
		s.Release(grant, estimator.Failed, scheduler.NoReport)
		failures++
	}
	require.True(t, s.Status().Fallback)
	require.Greater(t, failures, 50, "requests are still sent when every server fails")
}

func TestRefusalIsNotRunAndHasRetryAfter(t *testing.T) {
	clock := fake.NewClock()
	s := newScheduler(clock, 2)
	s.Update(service(0), servers(1, verbenastand.ServerConfig{Slots: 1}), []verbenastand.Host{self})
	for range 3 {
		s.Submit(newWaiter(clock, verbenastand.Short))
	}
	w := newWaiter(clock, verbenastand.Short)
	require.True(t, s.Submit(w))
	_, err := w.Grant()
	require.Equal(t, verbenastand.NotRun, verbenastand.VerdictOf(err))
	var refusal *verbenastand.RequestError
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, verbenastand.ReasonOverload, refusal.Reason())
	require.Positive(t, refusal.RetryAfter())
}

func TestPaidRequestsAreServedBeforeBackgroundRequests(t *testing.T) {
	clock := fake.NewClock()
	s := newScheduler(clock, 0)
	s.Update(service(0), servers(1, verbenastand.ServerConfig{Slots: 1}), []verbenastand.Host{self})
	first := newWaiter(clock, verbenastand.Short)
	require.True(t, s.Submit(first))
	var order []verbenastand.Priority
	for _, p := range []verbenastand.Priority{verbenastand.PriorityBackground, verbenastand.PriorityNormal, verbenastand.PriorityPaid} {
		w := newWaiter(clock, verbenastand.Short)
		w.Priority = p
		w.Notify = func() {
			order = append(order, p)
			grant, err := w.Grant()
			require.NoError(t, err)
			_ = grant
		}
		require.False(t, s.Submit(w))
	}
	grant, err := first.Grant()
	require.NoError(t, err)
	s.Release(grant, estimator.Succeeded, scheduler.NoReport)
	require.Equal(t, []verbenastand.Priority{verbenastand.PriorityPaid}, order)
}

type realClock struct{}

func (realClock) Now() time.Time { return time.Now() }

// A waiter whose context ends must leave the queue without holding a slot. A slot
// leaked that way would never be granted again.
func TestCancelledAcquireLeaksNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(realClock{}, 0)
		s.Update(service(0), servers(1, verbenastand.ServerConfig{Slots: 1}), []verbenastand.Host{self})
		grant, err := s.Acquire(t.Context(), newWaiter(realClock{}, verbenastand.Short))
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err = s.Acquire(ctx, newWaiter(realClock{}, verbenastand.Short))
		require.Equal(t, verbenastand.NotRun, verbenastand.VerdictOf(err))
		require.Equal(t, 100*time.Millisecond, time.Since(start))
		require.Zero(t, s.Status().Queued)
		s.Release(grant, estimator.Succeeded, scheduler.NoReport)
		_, err = s.Acquire(t.Context(), newWaiter(realClock{}, verbenastand.Short))
		require.NoError(t, err)
	})
}

// TestRequestsWaitForTheirTime: pattern: the requests ahead take more than half of the time that
// a caller has. Its request is served if they leave time for it, and refused at once if not.
func TestRequestsWaitForTheirTime(t *testing.T) {
	cases := []struct {
		timeout time.Duration
		served  bool
	}{
		{20 * mean, true},
		{15 * mean, true},
		{12 * mean, true},
		{9 * mean, false},
	}
	for _, tc := range cases {
		t.Run(tc.timeout.String(), func(t *testing.T) {
			clock := fake.NewClock()
			s := newScheduler(clock, 100)
			s.Update(service(1), servers(1, verbenastand.ServerConfig{Slots: 1}), []verbenastand.Host{self})
			running := newWaiter(clock, verbenastand.Short)
			require.True(t, s.Submit(running))
			next, err := running.Grant()
			require.NoError(t, err)
			var ahead []*scheduler.Waiter
			for range 10 {
				w := newWaiter(clock, verbenastand.Short)
				require.False(t, s.Submit(w))
				ahead = append(ahead, w)
			}
			w := newWaiter(clock, verbenastand.Short)
			w.Deadline = clock.Now().Add(tc.timeout)
			require.Equal(t, !tc.served, s.Submit(w))
			for _, earlier := range append(ahead, w) {
				clock.Advance(mean)
				s.Release(next, estimator.Succeeded, scheduler.NoReport)
				next, err = earlier.Grant()
				if err != nil {
					break
				}
			}
			require.Equal(t, tc.served, err == nil)
		})
	}
}

// TestFullQueueRefusesItsLastRequest: pattern: the queue is full of background requests.
func TestFullQueueRefusesItsLastRequest(t *testing.T) {
	const length = 5
	clock := fake.NewClock()
	s := newScheduler(clock, length)
	s.Update(service(1), servers(1, verbenastand.ServerConfig{Slots: 1}), []verbenastand.Host{self})
	require.True(t, s.Submit(newWaiter(clock, verbenastand.Short)))
	submit := func(p verbenastand.Priority) (w *scheduler.Waiter, done bool) {
		w = newWaiter(clock, verbenastand.Short)
		w.Priority = p
		return w, s.Submit(w)
	}
	var last *scheduler.Waiter
	for range length {
		w, done := submit(verbenastand.PriorityBackground)
		require.False(t, done)
		last = w
	}
	refused, done := submit(verbenastand.PriorityBackground)
	require.True(t, done)
	_, err := refused.Grant()
	require.Error(t, err)
	_, done = submit(verbenastand.PriorityNormal)
	require.False(t, done, "waits in place of a background request")
	_, err = last.Grant()
	require.Equal(t, verbenastand.NotRun, verbenastand.VerdictOf(err))
	require.Error(t, err)
}
