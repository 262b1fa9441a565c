package balancer

import (
	"context"
	"math"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	verbenastand "github.com/verbenastand/verbenastand"
)

const testLargest = 64 << 20

// fakeShares is a BodyLimiter with one share for all servers.
type fakeShares struct {
	// share is negative while it is unknown.
	share atomic.Int64
	// last is the last request for a share.
	last atomic.Pointer[verbenastand.BodyLimit]
}

func newFakeShares(share int64) *fakeShares {
	f := &fakeShares{}
	f.share.Store(share)
	return f
}

func (f *fakeShares) BodyShare(l verbenastand.BodyLimit) (int64, bool) {
	f.last.Store(&l)
	share := f.share.Load()
	return max(0, share), share >= 0
}

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// bodyHarness runs a balancer in the time of its bubble.
type bodyHarness struct {
	*harness
	shares    *fakeShares
	service   *Service
	shortages []BodyShortage
	// onCheck is called in each health check, nil for nothing.
	onCheck func()
}

// Check implements HealthChecker.
func (h *bodyHarness) Check(ctx context.Context, s *Server, path string) (CheckResult, error) {
	if h.onCheck != nil {
		h.onCheck()
	}
	return h.harness.Check(ctx, s, path)
}

func newBodyHarness(largest int64, list ...verbenastand.Registration) *bodyHarness {
	h := &bodyHarness{harness: &harness{fakeServers: make(fakeServers)}, shares: newFakeShares(testLargest)}
	for _, r := range list {
		h.fakeServers[r.Server()] = &fakeServer{report: lightLoad()}
	}
	h.balancer = NewBalancer(Config{
		Clock: wallClock{}, Zone: "here", HealthChecker: h, FairQueueing: true, BodyLimiter: h.shares,
		OnBodyShortage: func(s BodyShortage) { h.shortages = append(h.shortages, s) },
	})
	h.balancer.Update(verbenastand.NewView(verbenastand.ViewConfig{
		Table:   verbenastand.NewRouteTable(verbenastand.RouteTableConfig{Limits: verbenastand.CallerLimits{BodyBytes: largest}}),
		Servers: map[verbenastand.ServiceName][]verbenastand.Registration{"s": list},
	}))
	h.service = h.balancer.Service("s")
	h.learnSaturation()
	return h
}

func bodyQuery(bytes int64) Query {
	now := time.Now()
	return Query{Route: testRoute, BodyBytes: bytes, InTimeBy: now.Add(500 * time.Millisecond), StartBy: now.Add(time.Second)}
}

func (h *bodyHarness) admit(ctx context.Context, bytes int64) (Choice, error) {
	return h.service.Admit(ctx, bodyQuery(bytes))
}

// withBodies runs a test in virtual time.
func withBodies(t *testing.T, servers int, test func(t *testing.T, h *bodyHarness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var list []verbenastand.Registration
		for i := range servers {
			list = append(list, registration(string(rune('a'+i)), nil))
		}
		test(t, newBodyHarness(testLargest, list...))
		time.Sleep(10 * time.Second)
	})
}

// TestLargeBodiesStayInTheShare guards against a host that sends a server more bytes of large bodies
// at a time than its share, and against a limit for other requests.
func TestLargeBodiesStayInTheShare(t *testing.T) {
	cases := []struct {
		name    string
		largest int64
		// bytes are the bodies of requests that are sent one after the other without a response,
		// sent how many of them a single server gets.
		bytes []int64
		sent  int
	}{
		{"no bodies", testLargest, make([]int64, 4), 4},
		{"small bodies", testLargest, []int64{4 << 20, 4 << 20, 4 << 20, 4 << 20}, 4},
		{"bodies that fit together", testLargest, []int64{24 << 20, 24 << 20, 16 << 20}, 3},
		{"one byte too many", testLargest, []int64{24 << 20, 24 << 20, 16<<20 + 1}, 2},
		{"the largest body", testLargest, []int64{testLargest, 5 << 20}, 1},
		{"unknown sizes", testLargest, []int64{-1, -1}, 1},
		{"an unknown size beside a known one", testLargest, []int64{5 << 20, -1}, 1},
		{"larger than allowed", testLargest, []int64{math.MaxInt64, 5 << 20}, 1},
		{"small limit", 256 << 10, []int64{256 << 10, -1, 256 << 10, 256 << 10}, 4},
		{"no limit is known", 0, []int64{testLargest, -1, testLargest}, 3},
		{"a negative limit", -1, []int64{testLargest, -1, testLargest}, 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newBodyHarness(tc.largest, registration("a", nil))
				sent := 0
				for _, n := range tc.bytes {
					q := bodyQuery(n)
					choice, err := h.service.Choose(t.Context(), q)
					if err != nil {
						require.ErrorIs(t, err, ErrBodyLimited)
						continue
					}
					choice.Begin("r")
					sent++
				}
				require.Equal(t, tc.sent, sent)
				require.LessOrEqual(t, h.balancer.BodyBytes(), int64(testLargest))
			})
		})
	}
}

// TestSlowServersGetNoFurtherLargeBody guards against a host that sends a server a large body while
// another one is in flight and the server is slow.
func TestSlowServersGetNoFurtherLargeBody(t *testing.T) {
	cases := []struct {
		name   string
		report verbenastand.LoadReport
		after  time.Duration
		want   error
	}{
		{"lightly loaded", lightLoad(), 0, nil},
		{"requests wait at the server", verbenastand.LoadReport{Running: 6, Waiting: 1, Slots: 6, Slowdown: 1}, 0, ErrBodyLimited},
		{"slowed down", verbenastand.LoadReport{Running: 1, Slots: 6, Slowdown: 5}, 0, ErrBodyLimited},
		{"overdue", lightLoad(), time.Second, ErrBodyLimited},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withBodies(t, 1, func(t *testing.T, h *bodyHarness) {
				first, err := h.service.Choose(t.Context(), bodyQuery(8<<20))
				require.NoError(t, err)
				attempt := first.Begin("r")
				time.Sleep(tc.after)
				h.service.Servers()[0].setReport(tc.report, time.Now())
				second, err := h.service.Choose(t.Context(), bodyQuery(8<<20))
				require.ErrorIs(t, err, tc.want)
				second.Release()
				small, err := h.service.Choose(t.Context(), bodyQuery(1<<20))
				require.NoError(t, err)
				small.Release()
				attempt.End(Succeeded, nil)
				require.Zero(t, h.balancer.BodyBytes())
				again, err := h.service.Choose(t.Context(), bodyQuery(8<<20))
				require.NoError(t, err)
				again.Release()
			})
		})
	}
}

// TestALargeBodyWaitsForRoom guards against a large body that is refused although another one will end in
// time, and against other requests that wait for it.
func TestALargeBodyWaitsForRoom(t *testing.T) {
	withBodies(t, 2, func(t *testing.T, h *bodyHarness) {
		var attempts []*Attempt
		for range 2 {
			choice, err := h.admit(t.Context(), testLargest)
			require.NoError(t, err)
			attempts = append(attempts, choice.Begin("r"))
		}
		require.NotSame(t, attempts[0].server, attempts[1].server)
		granted := make(chan Choice, 1)
		go func() {
			choice, err := h.admit(t.Context(), testLargest)
			require.NoError(t, err)
			granted <- choice
		}()
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		for range 3 {
			choice, err := h.admit(t.Context(), 1<<20)
			require.NoError(t, err)
			choice.Begin("r").End(Succeeded, nil)
		}
		require.Zero(t, time.Since(began))
		require.Empty(t, granted)
		require.Equal(t, []BodyShortage{{Service: "s", Bytes: testLargest, Err: ErrBodyLimited}}, h.shortages)
		report := lightLoad()
		attempts[1].End(Succeeded, &report)
		synctest.Wait()
		choice := <-granted
		require.Same(t, attempts[1].server, choice.Server)
		choice.Release()
		attempts[0].End(ConnectionLost, nil)
		require.Zero(t, h.balancer.BodyBytes())
		require.EqualValues(t, 1, h.balancer.BodiesWaited())
	})
}

// TestALargeBodyWaitsNoLongerThanItsTime guards against a large body that waits beyond the time that its
// caller has, with other requests in the queue and without.
func TestALargeBodyWaitsNoLongerThanItsTime(t *testing.T) {
	withBodies(t, 1, func(t *testing.T, h *bodyHarness) {
		choice, err := h.admit(t.Context(), testLargest)
		require.NoError(t, err)
		choice.Begin("r")
		began := time.Now()
		_, err = h.admit(t.Context(), testLargest)
		require.ErrorIs(t, err, ErrNoCapacity)
		require.Equal(t, time.Second, time.Since(began))
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err = h.admit(ctx, testLargest)
		require.ErrorIs(t, err, context.DeadlineExceeded)
	})
}

// TestHostsWithoutABodyShare guards against requests that wait at a host which may never send their
// bodies, and against refusals while that is not known yet.
func TestHostsWithoutABodyShare(t *testing.T) {
	withBodies(t, 2, func(t *testing.T, h *bodyHarness) {
		h.shares.share.Store(testLargest / 4)
		began := time.Now()
		_, err := h.admit(t.Context(), testLargest/4+1)
		require.ErrorIs(t, err, ErrNoBodyShare)
		require.Zero(t, time.Since(began))
		require.EqualValues(t, 1, h.balancer.BodiesRefused())
		h.shares.share.Store(-1)
		time.AfterFunc(100*time.Millisecond, func() { h.shares.share.Store(testLargest / 4) })
		choice, err := h.admit(t.Context(), testLargest/4)
		require.NoError(t, err)
		require.LessOrEqual(t, time.Since(began), 150*time.Millisecond)
		choice.Release()
		h.shares.share.Store(-1)
		time.AfterFunc(100*time.Millisecond, func() { h.shares.share.Store(0) })
		began = time.Now()
		_, err = h.admit(t.Context(), testLargest/4)
		require.ErrorIs(t, err, ErrNoBodyShare)
		require.LessOrEqual(t, time.Since(began), 150*time.Millisecond)
		require.Equal(t, "noBodyShare", ExclusionReason(h.service.Explain(bodyQuery(testLargest)).Err))
	})
}

// TestRoomThatIsTakenMeanwhile guards against a refusal for lack of servers if another request has taken the
// room for its body during the health check.
func TestRoomThatIsTakenMeanwhile(t *testing.T) {
	withBodies(t, 1, func(t *testing.T, h *bodyHarness) {
		server := h.service.Servers()[0]
		h.onCheck = func() {
			h.onCheck = nil
			require.True(t, server.takeBody(testLargest))
			time.AfterFunc(100*time.Millisecond, func() { server.returnBody(testLargest) })
		}
		choice, err := h.admit(t.Context(), testLargest)
		require.NoError(t, err)
		require.True(t, choice.Waited)
		choice.Release()
	})
}

// TestOddSlotsBoundBodies guards against a bound that follows slots that no server has.
func TestOddSlotsBoundBodies(t *testing.T) {
	cases := []struct{ registered, reported, want int }{
		{6, 4, 6}, {0, 4, 4}, {-3, -4, 1}, {0, 0, 1}, {math.MaxInt, 4, maxBodySlots}, {0, math.MaxInt, maxBodySlots},
	}
	for _, tc := range cases {
		synctest.Test(t, func(t *testing.T) {
			h := newBodyHarness(testLargest, registration("a", func(c *verbenastand.RegistrationConfig) { c.Slots = tc.registered }))
			server := h.service.Servers()[0]
			server.setReport(verbenastand.LoadReport{Slots: tc.reported}, time.Now())
			require.True(t, server.hasBodyRoom(testLargest))
			require.Equal(t, verbenastand.BodyLimit{
				Process: server.Registration().Process(), Slots: tc.want, Largest: testLargest, Zones: []verbenastand.Zone{"here"},
			}, *h.shares.last.Load())
			share, known := OwnBodies{}.BodyShare(*h.shares.last.Load())
			require.True(t, known)
			require.Positive(t, share)
		})
	}
}

// TestBodiesAreNotLimitedUnlessAskedFor guards against uploads that wait or are refused where the
// settings do not limit them.
func TestBodiesAreNotLimitedUnlessAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newBodyHarness(testLargest, registration("a", func(c *verbenastand.RegistrationConfig) { c.Slots = 4 }))
		h.balancer.config.BodyLimiter = nil
		for range 4 {
			choice, err := h.service.Choose(t.Context(), bodyQuery(testLargest))
			require.NoError(t, err)
			choice.Begin("r")
		}
		require.Zero(t, h.balancer.BodyBytes())
		require.Nil(t, h.shares.last.Load())
	})
}

// TestBodiesAreReturned guards against bytes that stay counted after their request, whatever becomes of
// it, and against a sum beyond the share.
func TestBodiesAreReturned(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			h := newBodyHarness(testLargest, registration("a", nil), registration("b", nil))
			var attempts []*Attempt
			for range rapid.IntRange(1, 30).Draw(rt, "steps") {
				time.Sleep(time.Duration(rapid.IntRange(0, 50).Draw(rt, "ms")) * time.Millisecond)
				if len(attempts) > 0 && rapid.Bool().Draw(rt, "end") {
					i := rapid.IntRange(0, len(attempts)-1).Draw(rt, "which")
					attempts[i].End(Result(rapid.IntRange(int(Succeeded), int(Abandoned)).Draw(rt, "result")), nil)
					attempts = slices.Delete(attempts, i, i+1)
					continue
				}
				q := bodyQuery(int64(rapid.IntRange(-1, testLargest+1).Draw(rt, "bytes")))
				choice, err := h.service.Choose(t.Context(), q)
				switch {
				case err != nil:
				case rapid.Bool().Draw(rt, "release"):
					choice.Release()
				default:
					attempts = append(attempts, choice.Begin("r"))
				}
				for _, server := range h.service.Servers() {
					require.LessOrEqual(rt, server.bodyBytes, int64(testLargest))
				}
			}
			for _, a := range attempts {
				a.End(Abandoned, nil)
			}
			require.Zero(rt, h.balancer.BodyBytes())
		})
	})
}
