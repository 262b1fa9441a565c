package carrier

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/hedger"
)

// observeTenants teaches the hedger durations of 140 to 260 ms, a third of which other tenants lengthen.
func observeTenants(h *hedger.Hedger) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 3000 {
		took := 140 + 120*random.Float64()
		if random.Float64() < 0.33 {
			took += 170 * random.ExpFloat64()
		}
		h.Observe(hedger.Observation{
			Service: "svc", Route: "r", Result: hedger.Completed, First: true, Took: time.Duration(took * float64(time.Millisecond)), Slowdown: 1,
		})
	}
}

// slowingServer returns a server that takes 900 ms for the first request that any of them gets and 200 ms
// for others. What it reports from then on is that of slow.
func slowingServer(taken *atomic.Bool, slow func() string) *backend {
	var slowed atomic.Bool
	return &backend{
		serve: func(conn net.Conn, r *http.Request) {
			took := 200 * time.Millisecond
			if taken.CompareAndSwap(false, true) {
				slowed.Store(true)
				took = 900 * time.Millisecond
			}
			if !sleepUnlessClosed(conn, took) {
				_, _ = io.WriteString(conn, okResponse(r, "body"))
			}
		},
		report: func() string {
			if slowed.Load() {
				return slow()
			}
			return "0,0,6,1"
		},
	}
}

// Guards against hedges that are decided on by how fast the server was when the request was sent: an attempt
// whose server has become slow since then is hedged sooner than one whose server is fast, and so is
// one whose server does not respond to health checks.
func TestAHedgeFollowsTheSlowdownOfTheRunningAttempt(t *testing.T) {
	cases := []struct {
		name  string
		slow  func() string
		early bool
	}{
		{"still fast", func() string { return "1,0,6,1" }, false},
		{"slow", func() string { return "1,0,6,5" }, true},
		{"no response", func() string {
			time.Sleep(time.Second)
			return "1,0,6,1"
		}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var taken atomic.Bool
			change := func(c *verbenastand.RouteConfig) { c.Timeout, c.Target = 3*time.Second, 600*time.Millisecond }
			withHarness(t, change, []*backend{slowingServer(&taken, tc.slow), slowingServer(&taken, tc.slow)}, func(h *harness) {
				limit := 0.3
				h.useLimit(&limit, 0)
				observeTenants(h.carrier.config.Hedger)
				began := time.Now()
				response, _ := h.call(http.MethodGet, "/x/1", "")
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.Equal(t, tc.early, time.Since(began) < 600*time.Millisecond, time.Since(began))
			})
		})
	}
}
