package carrier

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// urgentPrefix is the path prefix of urgent requests.
const urgentPrefix = "/urgent/"

// addLevels adds a route of urgent requests and one of less urgent requests to the service.
func addLevels(h *harness) {
	for level, prefix := range []string{urgentPrefix, bulkPrefix} {
		h.addRoute(verbenastand.RouteConfig{
			Name: verbenastand.RouteName(fmt.Sprint("level-", level)), PathPrefix: prefix, RetrySafety: verbenastand.Idempotent,
			Timeout: 2 * time.Second, Target: target, MaxAttempts: 2, PriorityLevel: level,
		})
	}
}

// TestRequestsAreNotRefusedForOthers: pattern: urgent requests have too little time left and
// are refused; less urgent requests follow, whose callers have time, at idle servers.
func TestRequestsAreNotRefusedForOthers(t *testing.T) {
	withHarness(t, nil, []*backend{{serve: reply(50 * time.Millisecond)}, {serve: reply(50 * time.Millisecond)}}, func(h *harness) {
		addLevels(h)
		for i := range 60 {
			left := "X-Deadline: 1500"
			if i%5 < 2 {
				left = "X-Deadline: 10"
			}
			h.call("GET", urgentPrefix+"1", "", left)
		}
		for i := range 40 {
			response, _ := h.call("GET", bulkPrefix+"1", "", "X-Deadline: 1500")
			require.Equal(h.t, http.StatusOK, response.StatusCode, "less urgent request %d", i)
		}
	})
}

// TestLevelsFareAlikeAlone: pattern: requests of one priority level, nobody else there. Their
// level makes no difference.
func TestLevelsFareAlikeAlone(t *testing.T) {
	statuses := make([][]int, 2)
	for level, prefix := range []string{urgentPrefix, bulkPrefix} {
		withHarness(t, nil, []*backend{{serve: reply(50 * time.Millisecond)}}, func(h *harness) {
			addLevels(h)
			for i := range 60 {
				// Every third caller has too little time left.
				left := 1500
				if i%3 == 0 {
					left = 10
				}
				response, _ := h.call("GET", prefix+"1", "", fmt.Sprintf("X-Deadline: %d", left))
				statuses[level] = append(statuses[level], response.StatusCode)
			}
		})
	}
	require.Equal(t, statuses[0], statuses[1])
	require.Equal(t, 20, strings.Count(fmt.Sprint(statuses[0]), "503"))
}

// replyWithLoad responds after the given time with a load report.
func replyWithLoad(took time.Duration, report func() string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, r *http.Request) {
		time.Sleep(took)
		_, _ = io.WriteString(conn, okResponse(r, "body", "X-Load: "+report()))
	}
}

// TestRequestsWaitForTheirTime: pattern: all slots are taken for a while, then free. A request
// whose caller still has the time is served, in time if that is possible and late otherwise.
func TestRequestsWaitForTheirTime(t *testing.T) {
	const work, left = 50 * time.Millisecond, 1500 * time.Millisecond
	cases := []struct {
		taken  time.Duration
		served bool
	}{
		{100 * time.Millisecond, true},
		{300 * time.Millisecond, true},
		{600 * time.Millisecond, true},
		{900 * time.Millisecond, true},
		{1300 * time.Millisecond, true},
		{1600 * time.Millisecond, false},
	}
	for _, tc := range cases {
		t.Run(tc.taken.String(), func(t *testing.T) {
			began := time.Time{}
			report := func() string {
				if time.Since(began) < tc.taken {
					return "6,0,6,1"
				}
				return "0,0,6,1"
			}
			server := func() *backend { return &backend{serve: replyWithLoad(work, report), report: report} }
			withHarness(t, func(c *verbenastand.RouteConfig) { c.Timeout = 2 * time.Second }, []*backend{server(), server()}, func(h *harness) {
				began = time.Now()
				var callers sync.WaitGroup
				for range 4 {
					callers.Go(func() {
						response, _ := h.call("GET", "/x/1", "", fmt.Sprintf("X-Deadline: %d", left.Milliseconds()))
						took := time.Since(began)
						if tc.served {
							assert.Equal(t, http.StatusOK, response.StatusCode)
							assert.Less(t, took, tc.taken+work+50*time.Millisecond)
							return
						}
						assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
						assert.Less(t, took, left, "refused before the time of the caller is over")
					})
				}
				callers.Wait()
			})
		})
	}
}

// TestWaitingRequestsReachDegradedServers: pattern: all servers have become slow, and are full for
// a moment. A request that waits gets the first free slot.
func TestWaitingRequestsReachDegradedServers(t *testing.T) {
	const taken = 300 * time.Millisecond
	var slowdown atomic.Int64
	var fullUntil time.Time
	report := func() string {
		if time.Now().Before(fullUntil) {
			return "6,3,6,1"
		}
		return "0,0,6,1"
	}
	server := func() *backend {
		return &backend{report: report, serve: func(conn net.Conn, r *http.Request) {
			replyWithLoad(time.Duration(slowdown.Load())*20*time.Millisecond, report)(conn, r)
		}}
	}
	withHarness(t, atMostOnce, []*backend{server(), server()}, func(h *harness) {
		for _, slower := range []int64{1, 10} {
			slowdown.Store(slower)
			for range 40 {
				response, _ := h.call("GET", "/x/1", "")
				require.Equal(t, http.StatusOK, response.StatusCode)
			}
		}
		began := time.Now()
		fullUntil = began.Add(taken)
		response, _ := h.call("GET", "/x/1", "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Less(t, time.Since(began), taken+200*time.Millisecond+50*time.Millisecond)
	})
}

// TestRequestsWaitForServersWithoutReports: pattern: servers that report no load, and more
// requests than they have slots. Those that wait are sent as earlier ones end.
func TestRequestsWaitForServersWithoutReports(t *testing.T) {
	server := func() *backend {
		return &backend{serve: reply(delay), report: func() string { return "" }}
	}
	withHarness(t, atMostOnce, []*backend{server(), server()}, func(h *harness) {
		for range 20 {
			h.call("GET", "/x/1", "")
		}
		began := time.Now()
		var callers sync.WaitGroup
		for range 24 {
			callers.Go(func() {
				response, _ := h.call("GET", "/x/1", "")
				assert.Equal(t, http.StatusOK, response.StatusCode)
				assert.Less(t, time.Since(began), 2*delay+50*time.Millisecond)
			})
		}
		callers.Wait()
	})
}

// TestWaitingRequestsLearnThatNoServerIsReached: pattern: requests wait at full servers, and the
// host loses all of them. The requests are refused, or sent by another host, long before their
// deadlines.
func TestWaitingRequestsLearnThatNoServerIsReached(t *testing.T) {
	const lostAfter = 100 * time.Millisecond
	server := func() *backend {
		return &backend{serve: reply(delay), report: func() string { return "6,3,6,1" }}
	}
	withHarness(t, nil, []*backend{server(), server()}, func(h *harness) {
		began := time.Now()
		time.AfterFunc(lostAfter, func() {
			for _, s := range h.servers {
				s.lost.Store(true)
			}
			h.carrier.config.Sender.CloseIdle()
		})
		var callers sync.WaitGroup
		for range 3 {
			callers.Go(func() {
				response, _ := h.call("GET", "/x/1", "")
				assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
				assert.Equal(t, verbenastand.ReasonNoServer.String(), response.Header.Get(verbenastand.HeaderReason))
				assert.Less(t, time.Since(began), lostAfter+200*time.Millisecond)
			})
		}
		callers.Wait()
	})
}
