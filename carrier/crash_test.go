package carrier

import (
	"fmt"
	"net"
	"net/http"
	"strings"
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
	}{
		{"the same target", func(int) string { return "/x/crash" }, nil},
		{"another query", func(i int) string { return fmt.Sprintf("/x/crash?page=%d&sort=new", i) }, nil},
		{"a query or none", func(i int) string { return "/x/crash" + strings.Repeat("?", i%2) + strings.Repeat("a=1", i%2) }, nil},
		{"another encoding of the path", func(i int) string { return []string{"/x/crash", "/x/cr%61sh", "/x/%63rash"}[i%3] }, nil},
		{"another route", func(int) string { return "/x/crash" }, (*harness).renameRoute},
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
				require.Len(t, h.requests(), quarantiner.CrashLimit)
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
		h.carrier.config.Quarantiner.Merge(quarantiner.Evidence{
			Fingerprint: fingerprint, Servers: []verbenastand.ServerID{"a", "b"},
		})
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
				h.carrier.config.Quarantiner.RecordCrash(h.lastFingerprint(), "gone")
			}
			response, _ = h.call("GET", "/x/slow", "")
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Len(t, h.requests(), sent+2-crashes)
		})
	}
}
