package dispatcher_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/bounder"
)

// Guards against a refusal that says that a request with an idempotency key has not run, while
// an earlier copy of it may have.
func TestARefusalForMemoryIsTrue(t *testing.T) {
	d := newProxy(1, false)
	r := httptest.NewRequest(http.MethodGet, "/", http.NoBody)
	w := httptest.NewRecorder()
	d.RefuseForMemory(w, r)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, "1", w.Header().Get("Retry-After"))
	require.Equal(t, verbenastand.NotRun.String(), w.Header().Get(verbenastand.HeaderVerdict))
	r.Header.Set(verbenastand.HeaderIdempotencyKey, "a key")
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { d.RefuseForMemory(httptest.NewRecorder(), r) })
}

// Guards against bodies that are buffered or streamed without memory for them, memory that is not
// returned, and a refusal of requests whose bodies are streamed while there is memory for a
// buffer.
func TestBodiesAreChargedWhileTheyAreBuffered(t *testing.T) {
	cases := []struct {
		name     string
		body     int
		unknown  bool
		free     int64
		refused  bool
		mostHeld int64
	}{
		{"no body", 0, false, 0, false, 0},
		{"fits", 1000, false, 1000, false, 1000},
		{"does not fit", 1000, false, 999, true, 0},
		{"streamed", 1 << 20, false, 32 << 10, false, 32 << 10},
		{"streamed, of unknown length", 1000, true, 32 << 10, false, 32 << 10},
		{"streamed, no memory for its buffer", 1 << 20, false, 32<<10 - 1, true, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			shares := bounder.NewShares(tc.free)
			share := shares.Open("a")
			held := int64(0)
			p := newProxy(1, false)
			p.memory = share
			p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) {
				held = share.Held()
				return okResponse("done"), nil
			}
			r := newRequest(http.MethodPut, "/", strings.Repeat("x", tc.body), "")
			if tc.unknown {
				r.ContentLength = -1
			}
			w := p.do(r)
			require.Equal(t, tc.refused, w.Code == http.StatusServiceUnavailable)
			require.Equal(t, tc.mostHeld, held)
			require.Equal(t, tc.free, shares.Left())
		})
	}
}
