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
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/quarantiner"
)

// newFragileBackends returns servers that crash when they begin to run a request
// below /x/crash. Their harness is assigned through the returned pointer.
func newFragileBackends(count int) ([]*backend, **harness) {
	h := new(*harness)
	var servers []*backend
	for range count {
		s := &backend{}
		s.serve = func(conn net.Conn, r *http.Request) {
			if !strings.HasPrefix(r.URL.Path, "/x/crash") {
				reply(delay)(conn, r)
				return
			}
			(*h).mu.Lock()
			s.down = true
			(*h).mu.Unlock()
			_ = conn.Close()
		}
		servers = append(servers, s)
	}
	return servers, h
}

// Guards against copies of a crashing request that each crash two more servers
// because they differ in what does not identify the request (issue 23, BUDGET).
func TestCopiesOfACrashingRequestShareEvidence(t *testing.T) {
	cases := []struct {
		name    string
		path    func(copy int) string
		between func(h *harness, copy int)
		limit   int
	}{
		{"the same target", func(int) string { return "/x/crash" }, nil, quarantiner.CrashLimit},
		{"another query", func(i int) string { return fmt.Sprintf("/x/crash?page=%d&sort=new", i) }, nil, quarantiner.CrashLimit},
		{"a query or none", func(i int) string { return "/x/crash" + strings.Repeat("?", i%2) + strings.Repeat("a=1", i%2) }, nil, quarantiner.CrashLimit},
		{"another encoding of the path", func(i int) string { return []string{"/x/crash", "/x/cr%61sh", "/x/%63rash"}[i%3] }, nil, quarantiner.CrashLimit},
		{"another route", func(int) string { return "/x/crash" }, (*harness).renameRoute, quarantiner.CrashLimit},
		{"another caller", func(int) string { return "/x/crash" }, (*harness).changeCaller, quarantiner.SharedCrashLimit},
		{"another caller and query", func(i int) string { return fmt.Sprint("/x/crash?page=", i) }, (*harness).changeCaller, quarantiner.SharedCrashLimit},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			servers, assign := newFragileBackends(12)
			withHarness(t, func(c *verbenastand.RouteConfig) { c.MaxAttempts = 2 }, servers, func(h *harness) {
				*assign = h
				for i := range 6 {
					_, _ = h.call("GET", tc.path(i), "")
					if tc.between != nil {
						tc.between(h, i)
					}
					time.Sleep(3 * time.Second)
				}
				require.Len(t, h.requests(), tc.limit)
				response, _ := h.call("GET", "/x/other?page=1", "")
				require.Equal(t, http.StatusOK, response.StatusCode)
			})
		})
	}
}

// Guards against a request that crashes as many servers as its route allows
// attempts, since evidence was only looked up on arrival (issue 23, BUDGET).
func TestARetryIsRefusedAtTheCrashLimit(t *testing.T) {
	servers, assign := newFragileBackends(8)
	withHarness(t, func(c *verbenastand.RouteConfig) { c.MaxAttempts = 6 }, servers, func(h *harness) {
		*assign = h
		response, _ := h.call("GET", "/x/crash", "")
		require.Equal(t, http.StatusBadGateway, response.StatusCode, "the request may have run")
		require.Len(t, h.requests(), quarantiner.CrashLimit)
	})
}

// Guards against copies of a crashing request that wait for a server while another
// host sends evidence, and are sent to the first server that returns (issue 23,
// BUDGET).
func TestAWaitingRequestIsRefusedWhenEvidenceArrives(t *testing.T) {
	var busy atomic.Bool
	report := func() string {
		if busy.Load() {
			return "6,9,6,1"
		}
		return "1,0,6,1"
	}
	servers := []*backend{{serve: reply(delay), report: report}, {serve: reply(delay), report: report}}
	change := func(c *verbenastand.RouteConfig) { c.Target, c.Timeout = 2*time.Second, 3*time.Second }
	withHarness(t, change, servers, func(h *harness) {
		response, _ := h.call("GET", "/x/1", "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		fingerprint := h.lastFingerprint()
		time.Sleep(5 * time.Second)
		busy.Store(true)
		var waited *http.Response
		done := make(chan struct{})
		go func() {
			defer close(done)
			waited, _ = h.call("GET", "/x/1", "")
		}()
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, 1, h.balancer.Service("svc").Waiting())
		other := quarantiner.NewQuarantiner(quarantiner.Config{Clock: wallClock{}})
		recordCrash(other, fingerprint, "a")
		recordCrash(other, fingerprint, "b")
		for _, e := range other.Evidence(quarantiner.MaxSuspects) {
			h.carrier.config.Quarantiner.Merge(e)
		}
		busy.Store(false)
		<-done
		require.Equal(t, http.StatusServiceUnavailable, waited.StatusCode)
		require.Equal(t, "quarantined", waited.Header.Get(verbenastand.HeaderReason))
		require.Len(t, h.requests(), 1)
	})
}

// Guards against a hedge of a suspected request: attempts of such a request run one
// at a time.
func TestASuspectedRequestIsNotHedged(t *testing.T) {
	for _, crashes := range []int{0, 1} {
		slow := func(conn net.Conn, r *http.Request) {
			if r.URL.Path == "/x/slow" {
				time.Sleep(700 * time.Millisecond)
			}
			reply(delay)(conn, r)
		}
		withHarness(t, nil, []*backend{{serve: slow}, {serve: slow}, {serve: slow}}, func(h *harness) {
			for range 20 {
				_, _ = h.call("GET", "/x/quick", "")
			}
			sent := len(h.requests())
			response, _ := h.call("GET", "/x/slow", "")
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Len(t, h.requests(), sent+2, "hedged without evidence")
			time.Sleep(5 * time.Second)
			sent = len(h.requests())
			if crashes > 0 {
				recordCrash(h.carrier.config.Quarantiner, h.lastFingerprint(), "gone")
			}
			response, _ = h.call("GET", "/x/slow", "")
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Len(t, h.requests(), sent+2-crashes)
		})
	}
}

// Guards against a path that is refused to all callers because several servers ended
// at once while they ran requests for it: it did not end them, and responses of the
// other servers show that.
func TestAPopularPathIsServedAfterCrashes(t *testing.T) {
	for _, crashes := range []int{2, 4} {
		var servers []*backend
		for range 12 {
			servers = append(servers, &backend{})
		}
		var assign *harness
		for _, s := range servers {
			s.serve = func(conn net.Conn, r *http.Request) {
				time.Sleep(delay)
				assign.mu.Lock()
				down := s.down
				assign.mu.Unlock()
				if down {
					_ = conn.Close()
					return
				}
				_, _ = io.WriteString(conn, okResponse(r, "body"))
			}
		}
		withHarness(t, nil, servers, func(h *harness) {
			assign = h
			const interval = 3 * time.Millisecond
			type result struct {
				after  time.Duration
				reason string
			}
			var mu sync.Mutex
			var results []result
			var wait sync.WaitGroup
			start := time.Now()
			var crashed time.Duration
			for i := range 1000 {
				if i == 300 {
					crashed = time.Since(start)
					h.mu.Lock()
					for _, s := range servers[:crashes] {
						s.down = true
					}
					h.mu.Unlock()
				}
				h.changeCaller(i)
				conn := h.connect()
				wait.Go(func() {
					response, _ := h.callOn(conn, "GET", fmt.Sprint("/x/list?page=", i), "")
					r := result{after: time.Since(start), reason: "closed"}
					if response != nil {
						r.reason = response.Header.Get(verbenastand.HeaderReason)
					}
					mu.Lock()
					defer mu.Unlock()
					results = append(results, r)
				})
				time.Sleep(interval)
			}
			wait.Wait()
			for _, r := range results {
				if r.after > crashed+2*delay {
					require.NotEqual(t, "quarantined", r.reason, "%d servers ended at %s, refused at %s", crashes, crashed, r.after)
				}
			}
		})
	}
}

// Guards against evidence that a failure of a server clears: it does not show that
// the request does no harm.
func TestOnlyASuccessClearsEvidence(t *testing.T) {
	cases := []struct {
		name      string
		serve     func(net.Conn, *http.Request)
		suspected bool
	}{
		{"a success", reply(delay), false},
		{"a failure", replyRaw("HTTP/1.1 504 Gateway Timeout\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n"), true},
		{"a body that breaks off", func(conn net.Conn, r *http.Request) {
			body := strings.Repeat("x", 2*maxBufferedBody)
			_, _ = io.WriteString(conn, okResponse(r, body)[:len(body)-1])
			_ = conn.Close()
		}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withHarness(t, func(c *verbenastand.RouteConfig) { c.MaxAttempts = 1 }, []*backend{{serve: tc.serve}}, func(h *harness) {
				conn := h.connect()
				_, _ = io.WriteString(conn, "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: id1\r\n\r\n")
				_, _ = io.Copy(io.Discard, io.LimitReader(conn, 1))
				time.Sleep(10 * time.Millisecond)
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				time.Sleep(5 * time.Second)
				f := h.lastFingerprint()
				recordCrash(h.carrier.config.Quarantiner, f, "gone")
				conn = h.connect()
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				_, _ = io.WriteString(conn, "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: id1\r\n\r\n")
				time.Sleep(5 * time.Second)
				require.Equal(t, tc.suspected, h.carrier.config.Quarantiner.Suspected(f))
			})
		})
	}
}

// slowEvidence delays the confirmation of the first crash.
type slowEvidence struct {
	alwaysReached
	confirmed atomic.Int32
}

func (s *slowEvidence) ReachesOthers(verbenastand.Registration) bool {
	if s.confirmed.Add(1) == 1 {
		time.Sleep(200 * time.Millisecond)
	}
	return true
}

// Guards against a request that crashes a further server while the evidence of its first
// crash is still being confirmed.
func TestARetryAwaitsTheEvidenceOfAllCrashes(t *testing.T) {
	servers, assign := newFragileBackends(8)
	withHarness(t, func(c *verbenastand.RouteConfig) { c.MaxAttempts = 6 }, servers, func(h *harness) {
		*assign = h
		h.carrier.config.Reachability = &slowEvidence{}
		response, _ := h.call("GET", "/x/crash", "")
		require.Equal(t, http.StatusBadGateway, response.StatusCode)
		require.Len(t, h.requests(), quarantiner.CrashLimit)
	})
}

// recordCrash records that a server crashed while it ran a request.
func recordCrash(q *quarantiner.Quarantiner, f quarantiner.Fingerprint, server verbenastand.ServerID) {
	q.RecordLoss(f, verbenastand.NewLoss(verbenastand.LossConfig{Server: server, At: time.Now()}), verbenastand.ProcessEnded)
}
