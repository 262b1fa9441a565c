package carrier

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/excluder"
	"github.com/verbenastand/verbenastand/limiter"
)

// nameLimit makes a server name a limit of requests per second.
func (h *harness) nameLimit(server int, text string) {
	h.limiter.Observe(limiter.Response{
		Process: h.currentView().Servers("svc")[server].Process(), Named: true, Text: text, Succeeded: true, SentAt: time.Now(),
	})
}

// pause makes a server request a pause.
func (h *harness) pause(server int) {
	h.excluder.Observe(excluder.Response{
		Process: h.currentView().Servers("svc")[server].Process(), Status: http.StatusServiceUnavailable, RetryAfter: []string{"5"},
	})
}

// replyLightlyLoaded responds after 10 ms with the load of a lightly loaded server.
func replyLightlyLoaded(conn net.Conn, r *http.Request) {
	time.Sleep(10 * time.Millisecond)
	_, _ = io.WriteString(conn, okResponse(r, "body", "X-Load: 1,0,6,1"))
}

func (h *harness) totalChecks() (sum int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range h.checks {
		sum += n
	}
	return sum
}

// Guards against an explanation that differs from what the host does, and against a query that
// sends requests or health checks, or takes tokens of limits.
func TestExplainNamesTheDecisionWithoutSideEffects(t *testing.T) {
	cases := []struct {
		name    string
		query   RouteQuery
		prepare func(*harness)
		step    Step
		reason  verbenastand.RefusalReason
		// status is that of a request sent afterwards, zero if none is sent.
		status int
		check  func(*testing.T, balancer.Explanation)
	}{
		{"no route", RouteQuery{HostName: "b.example", Path: "/x/1"}, nil, RefusedStep, verbenastand.ReasonNoRoute, 0, nil},
		{"nothing known of the servers", RouteQuery{HostName: "a.example", Path: "/x/1"}, nil, CheckedStep, 0, http.StatusOK, func(t *testing.T, e balancer.Explanation) {
			require.Len(t, e.Candidates, 2)
			require.False(t, e.Candidates[0].Reported)
		}},
		{"both have just responded", RouteQuery{HostName: "a.example", Path: "/x/1"}, func(h *harness) {
			var calls sync.WaitGroup
			for range 8 {
				calls.Go(func() { h.call(http.MethodGet, "/x/1", "") })
			}
			calls.Wait()
		}, SentStep, 0, http.StatusOK, func(t *testing.T, e balancer.Explanation) {
			require.True(t, e.Candidates[0].LightlyLoaded)
			require.Equal(t, balancer.Preferred, e.Candidates[0].Tier)
		}},
		{"all pause", RouteQuery{HostName: "a.example", Path: "/x/1"}, func(h *harness) {
			h.pause(0)
			h.pause(1)
		}, RefusedStep, verbenastand.ReasonOverload, http.StatusServiceUnavailable, func(t *testing.T, e balancer.Explanation) {
			require.Equal(t, "paused", balancer.ExclusionReason(e.Candidates[0].Excluded))
			require.Equal(t, 5*time.Second, e.Candidates[0].Wait)
		}},
		{"one has reached its limit", RouteQuery{HostName: "a.example", Path: "/x/1"}, func(h *harness) { h.nameLimit(1, "0") }, CheckedStep, 0, http.StatusOK, func(t *testing.T, e balancer.Explanation) {
			require.Nil(t, e.Candidates[0].Excluded)
			require.Equal(t, "limited", balancer.ExclusionReason(e.Candidates[1].Excluded))
			require.True(t, e.Candidates[1].Limited)
		}},
		{"no servers", RouteQuery{HostName: "a.example", Path: "/x/1"}, func(h *harness) { h.setServers(nil) }, RefusedStep, verbenastand.ReasonNoServer, http.StatusServiceUnavailable, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			loaded := func() string { return "1,0,6,1" }
			withHarness(t, nil, []*backend{{serve: replyLightlyLoaded, report: loaded}, {serve: replyLightlyLoaded, report: loaded}}, func(h *harness) {
				if tc.prepare != nil {
					tc.prepare(h)
				}
				sent, checks := len(h.requests()), h.totalChecks()
				var d Decision
				for range 50 {
					d = h.carrier.Explain(tc.query)
				}
				synctest.Wait()
				require.Len(t, h.requests(), sent)
				require.Equal(t, checks, h.totalChecks())
				require.Equal(t, tc.step, d.Step, d.Step.String())
				if tc.step == RefusedStep {
					require.Equal(t, tc.reason, d.Reason)
				}
				if tc.check != nil {
					tc.check(t, d.Explanation)
				}
				if tc.status != 0 {
					response, _ := h.call(http.MethodGet, "/x/1", "")
					require.Equal(t, tc.status, response.StatusCode)
				}
			})
		})
	}
}

// Guards against a query that takes tokens of a server's limit.
func TestExplainTakesNoTokens(t *testing.T) {
	withHarness(t, nil, []*backend{{serve: replyLightlyLoaded}}, func(h *harness) {
		h.nameLimit(0, "3")
		require.Equal(t, WaitingStep, h.carrier.Explain(RouteQuery{HostName: "a.example", Path: "/x/1"}).Step)
		// One request is allowed after this time.
		time.Sleep(400 * time.Millisecond)
		for range 50 {
			d := h.carrier.Explain(RouteQuery{HostName: "a.example", Path: "/x/1"})
			require.Equal(t, CheckedStep, d.Step, "%s %s", d.Step, d.Reason)
		}
		response, _ := h.call(http.MethodGet, "/x/1", "")
		require.Equal(t, http.StatusOK, response.StatusCode)
	})
}

// Guards against an explanation that promises a server while other requests go before.
func TestExplainTellsThatRequestsWait(t *testing.T) {
	full := func() string { return "6,1,6,1" }
	withHarness(t, nil, []*backend{{serve: replyLightlyLoaded, report: full}}, func(h *harness) {
		var calls sync.WaitGroup
		for range 3 {
			calls.Go(func() { h.call(http.MethodGet, "/x/1", "") })
		}
		time.Sleep(50 * time.Millisecond)
		d := h.carrier.Explain(RouteQuery{HostName: "a.example", Path: "/x/1", Timeout: 900 * time.Millisecond})
		require.Equal(t, WaitingStep, d.Step, d.Step.String())
		require.Equal(t, 3, d.Explanation.Waiting)
		require.Equal(t, 900*time.Millisecond, d.Timeout)
		calls.Wait()
	})
}
