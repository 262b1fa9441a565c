package carrier

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// advice returns the Retry-After delay of a refusal.
func advice(t *testing.T, r *http.Response) time.Duration {
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	seconds, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	return time.Duration(seconds * float64(time.Second))
}

// TestAHostThatStopsGivesOneAdvice: pattern: requests that a stopping host refuses, each for
// another reason of its own. Their callers can be served elsewhere at once, and are told so.
func TestAHostThatStopsGivesOneAdvice(t *testing.T) {
	full := func() string { return "6,4,6,1" }
	cases := []struct {
		name string
		stop func(h *harness)
	}{
		{"its time limit ends after the stop", func(h *harness) { h.carrier.StopAt(time.Now(), time.Now().Add(500*time.Millisecond)) }},
		{"no server completes it before the stop", func(h *harness) { h.carrier.StopAt(time.Now().Add(time.Second), time.Now().Add(delay/10)) }},
		{"it waits when the host stops", func(h *harness) { time.AfterFunc(100*time.Millisecond, h.carrier.Stop) }},
		{"it arrives after the stop", func(h *harness) { h.carrier.Stop() }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withHarness(t, nil, []*backend{{serve: reply(delay), report: full}}, func(h *harness) {
				tc.stop(h)
				response, _ := h.call("GET", "/x/1", "")
				require.Equal(t, elsewhereRetryAfter, advice(t, response))
			})
		})
	}
}

// TestAdviceLeavesTime: callers honor at most a third of the time that they have left, and what
// a host advises leaves them the rest.
func TestAdviceLeavesTime(t *testing.T) {
	cases := []struct {
		name    string
		servers []*backend
	}{
		{"no server is reached", []*backend{{down: true}}},
		{"all servers are full", []*backend{{serve: reply(delay), report: func() string { return "6,5,6,1" }}}},
	}
	for _, tc := range cases {
		for _, left := range []time.Duration{90 * time.Millisecond, 200 * time.Millisecond, 700 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s %s", tc.name, left), func(t *testing.T) {
				withHarness(t, nil, tc.servers, func(h *harness) {
					began := time.Now()
					response, _ := h.call("GET", "/x/1", "", fmt.Sprintf("X-Deadline: %d", left.Milliseconds()))
					rest := left - time.Since(began)
					require.LessOrEqual(t, advice(t, response), max(rest/retryAfterDivisor, refusedRetryAfter))
				})
			})
		}
	}
}

// TestAHostAtItsLimitSendsCallersElsewhere: pattern: one host handles as many requests as it may,
// of its own callers or of other hosts.
func TestAHostAtItsLimitSendsCallersElsewhere(t *testing.T) {
	withHarness(t, nil, []*backend{{serve: reply(delay)}}, func(h *harness) {
		for range cap(h.carrier.semaphore) {
			h.carrier.semaphore <- struct{}{}
		}
		response, _ := h.call("GET", "/x/1", "")
		require.Equal(t, elsewhereRetryAfter, advice(t, response))
		require.Equal(t, verbenastand.ReasonOverload.String(), response.Header.Get(verbenastand.HeaderReason))
		for range cap(h.carrier.semaphore) {
			<-h.carrier.semaphore
		}
		synctest.Wait()
	})
}
