package dispatcher_test

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Guards against hedges of an entry host that operators have switched off, that the limit does not
// allow, or of a request that must not run twice; and against a change where it is not set: then
// only a request whose server has stalled is hedged.
func TestTheLimitDecidesWhetherAnEntryHostHedges(t *testing.T) {
	limit := func(f float64) *float64 { return &f }
	cases := []struct {
		name   string
		limit  *float64
		method string
		// steps is how often the usual duration passes. The server counts as stalled after five.
		steps  int
		hedged bool
	}{
		{"not set, stalled", nil, http.MethodGet, 20, true},
		{"not set, not yet stalled", nil, http.MethodGet, 4, false},
		{"zero, stalled", limit(0), http.MethodGet, 20, false},
		{"above zero, stalled", limit(0.1), http.MethodGet, 20, true},
		{"above zero, not yet stalled", limit(0.1), http.MethodGet, 4, true},
		{"less than one hedge", limit(0.001), http.MethodGet, 20, false},
		{"not idempotent", limit(0.1), http.MethodPost, 20, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newHedgingProxy(2, false, tc.limit)
				usual := func() *http.Response {
					p.clock.Advance(10 * time.Millisecond)
					return okResponse("ok")
				}
				p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) { return usual(), nil }
				for range 300 {
					p.do(newRequest(tc.method, "/tins", "", ""))
				}
				sent := p.sent.Load()
				slow := newRequest(tc.method, "/tins", "", "")
				slow.Header.Set("Slow", "1")
				release := make(chan struct{})
				var first sync.Once
				p.server = func(_ verbenastand.Server, r *http.Request) (*http.Response, error) {
					isFirst := false
					if r.Header.Get("Slow") != "" {
						first.Do(func() { isFirst = true })
					}
					if isFirst {
						select {
						case <-release:
						case <-r.Context().Done():
							return nil, r.Context().Err()
						}
					}
					return usual(), nil
				}
				var call sync.WaitGroup
				call.Go(func() { require.Equal(t, http.StatusOK, p.do(slow).Code) })
				synctest.Wait()
				for range tc.steps {
					p.clock.Advance(10 * time.Millisecond)
					time.Sleep(10 * time.Millisecond)
					synctest.Wait()
				}
				hedged := p.sent.Load() - sent - 1
				close(release)
				call.Wait()
				require.Equal(t, tc.hedged, hedged == 1, "%d hedges", hedged)
				require.LessOrEqual(t, hedged, int32(1))
			})
		})
	}
}
