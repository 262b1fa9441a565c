package carrier

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/hedger"
)

// useLimit sets the limit of extra server time, and what is known of earlier requests, each of
// which took 50 ms.
func (h *harness) useLimit(limit *float64, earlier int) {
	h.carrier.config.Hedger = hedger.NewHedger(hedger.Config{Clock: wallClock{}, Limit: limit})
	for range earlier {
		for _, route := range []verbenastand.RouteName{"r", "once"} {
			h.carrier.config.Hedger.Observe(hedger.Observation{
				Service: "svc", Route: route, Result: hedger.Completed, First: true, Took: 50 * time.Millisecond, Slowdown: 1,
			})
		}
	}
}

// stallOnce returns a backend function that stalls the first request that any of its servers
// gets for the given time.
func stallOnce(stall, usual time.Duration) func(net.Conn, *http.Request) {
	stalled := make(chan struct{}, 1)
	stalled <- struct{}{}
	return func(conn net.Conn, r *http.Request) {
		duration := usual
		select {
		case <-stalled:
			duration = stall
		default:
		}
		if !sleepUnlessClosed(conn, duration) {
			_, _ = io.WriteString(conn, okResponse(r, "body"))
		}
	}
}

// Guards against hedges that operators have switched off, that the limit does not allow, or of a
// request that must not run twice; and against a limit under which no request is hedged.
func TestTheLimitDecidesWhetherAStalledRequestIsHedged(t *testing.T) {
	limit := func(f float64) *float64 { return &f }
	cases := []struct {
		name    string
		limit   *float64
		earlier int
		safety  verbenastand.RetrySafety
		// prepare changes what else matters.
		prepare func(*harness)
		sent    int
	}{
		{"not set", nil, 0, verbenastand.Idempotent, nil, 2},
		{"zero", limit(0), 1000, verbenastand.Idempotent, nil, 1},
		{"above zero", limit(0.1), 1000, verbenastand.Idempotent, nil, 2},
		{"above zero, no earlier requests", limit(0.1), 0, verbenastand.Idempotent, nil, 1},
		{"above zero, less than one hedge", limit(0.001), 1000, verbenastand.Idempotent, nil, 1},
		{"above zero, not idempotent", limit(0.1), 1000, verbenastand.AtMostOnce, nil, 1},
		{"above zero, no retry budget", limit(0.1), 1000, verbenastand.Idempotent, func(h *harness) { h.hostCount = 0 }, 1},
		{"above zero, servers of which half are in use", limit(0.1), 1000, verbenastand.Idempotent, func(h *harness) {
			for _, s := range h.servers {
				s.report = func() string { return "3,0,6,1" }
			}
		}, 1},
		{"above zero, requests wait", limit(0.1), 1000, verbenastand.Idempotent, func(h *harness) {
			for range 10 {
				h.carrier.config.Hedger.RecordWait("svc", true)
			}
		}, 1},
		{"above zero, cold servers", limit(0.1), 1000, verbenastand.Idempotent, func(h *harness) {
			h.setServers(coldRegistrations(h))
		}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			serve := stallOnce(800*time.Millisecond, 50*time.Millisecond)
			change := func(c *verbenastand.RouteConfig) { c.RetrySafety = tc.safety }
			withHarness(t, change, []*backend{{serve: serve}, {serve: serve}}, func(h *harness) {
				h.useLimit(tc.limit, tc.earlier)
				if tc.prepare != nil {
					tc.prepare(h)
				}
				began := time.Now()
				response, _ := h.call(http.MethodGet, "/x/1", "")
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.Len(t, h.requests(), tc.sent)
				require.Equal(t, tc.sent == 2, time.Since(began) < 600*time.Millisecond)
			})
		})
	}
}

// coldRegistrations returns the servers, which have just started.
func coldRegistrations(h *harness) []verbenastand.Registration {
	var cold []verbenastand.Registration
	for _, r := range h.currentView().Servers("svc") {
		cold = append(cold, verbenastand.NewRegistration(verbenastand.RegistrationConfig{
			Server: r.Server(), Service: r.Service(), Zone: r.Zone(), Address: r.Address(), Slots: r.Slots(), Warmup: time.Minute,
		}))
	}
	return cold
}

// Guards against extra server time while a caller reads the response slowly: the losing attempt
// is cancelled before the response of the other one is delivered.
func TestTheLosingAttemptEndsBeforeTheDelivery(t *testing.T) {
	serve := stallOnce(900*time.Millisecond, 50*time.Millisecond)
	withHarness(t, nil, []*backend{{serve: serve}, {serve: serve}}, func(h *harness) {
		limit := 0.1
		h.useLimit(&limit, 1000)
		conn := h.connect()
		_, err := fmt.Fprintf(conn, "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: id1\r\n\r\n")
		require.NoError(t, err)
		// The caller reads nothing.
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		require.Len(t, h.requests(), 2)
		h.mu.Lock()
		defer h.mu.Unlock()
		require.Equal(t, 1, h.disconnects, "the connection of the losing attempt is closed")
	})
}

// Guards against a hedge that takes more server time than was reserved for it: it is cancelled when
// the limit allows no extension, and the first attempt is not.
func TestAHedgeEndsWhenTheLimitAllowsNoMore(t *testing.T) {
	serve := func(conn net.Conn, r *http.Request) {
		if !sleepUnlessClosed(conn, 700*time.Millisecond) {
			_, _ = io.WriteString(conn, okResponse(r, "body"))
		}
	}
	withHarness(t, func(c *verbenastand.RouteConfig) { c.MaxAttempts = 3 }, []*backend{{serve: serve}, {serve: serve}, {serve: serve}}, func(h *harness) {
		// 1,000 requests of 50 ms on two routes allow 0.45 s: the age of the first attempt and some leases.
		limit := 0.005
		h.useLimit(&limit, 1000)
		began := time.Now()
		response, _ := h.call(http.MethodGet, "/x/1", "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.InDelta(t, 700, time.Since(began).Milliseconds(), 5, "the response of the first attempt")
		require.Len(t, h.requests(), 2, "the cancelled hedge is not retried")
		synctest.Wait()
		h.mu.Lock()
		defer h.mu.Unlock()
		require.Equal(t, 1, h.disconnects)
		var hedged []string
		for _, e := range h.events {
			if e.Hedge {
				hedged = append(hedged, fmt.Sprint(e.Result, " ", e.Took < 300*time.Millisecond))
			}
		}
		require.Equal(t, "abandoned true", strings.Join(hedged, ", "))
	})
}
