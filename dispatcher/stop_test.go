package dispatcher_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/deduplicator"
)

// Guards against a planned stop that closes connections without a response (issue 36), or
// that reports a request as not run although a server has received it.
func TestStopRespondsToPendingRequests(t *testing.T) {
	cases := []struct {
		name, method string
		keyed        bool
		servers      int
		status       int
		verdict      verbenastand.Verdict
	}{
		{"an idempotent request at a server", http.MethodGet, false, 1, http.StatusGatewayTimeout, verbenastand.MayHaveRun},
		{"a request at a server", http.MethodPost, false, 1, http.StatusGatewayTimeout, verbenastand.MayHaveRun},
		{"a request with a key at a server", http.MethodPost, true, 1, http.StatusGatewayTimeout, verbenastand.MayHaveRun},
		{"an idempotent request that waits for a server", http.MethodGet, false, 0, http.StatusServiceUnavailable, verbenastand.NotRun},
		{"a request with a key that waits for a server", http.MethodPost, true, 0, http.StatusServiceUnavailable, verbenastand.NotRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newProxy(1, false)
				p.server = func(_ verbenastand.Server, r *http.Request) (*http.Response, error) {
					<-r.Context().Done()
					return nil, r.Context().Err()
				}
				key := ""
				if tc.keyed {
					key = p.keys.IssuePrefix() + "a"
				}
				done := make(chan struct{})
				var w *httptest.ResponseRecorder
				if tc.servers == 0 {
					for range 20 {
						go p.do(newRequest(http.MethodPost, "/occupied", "", ""))
					}
					synctest.Wait()
				}
				sent := p.sent.Load()
				go func() {
					w = p.do(newRequest(tc.method, "/tin", "", key))
					close(done)
				}()
				synctest.Wait()
				require.Equal(t, tc.servers > 0, p.sent.Load() > sent)
				began := time.Now()
				p.Stop()
				<-done
				require.Zero(t, time.Since(began))
				requireVerdict(t, w, tc.status, tc.verdict, "draining")
				if tc.keyed {
					requireVerdict(t, p.do(newRequest(tc.method, "/tin", "", key)), tc.status, tc.verdict, "draining")
				}
			})
		})
	}
}

// Checks that a response which has begun is delivered when the host stops.
func TestStopDeliversResponsesThatHaveBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProxy(1, false)
		body, server := io.Pipe()
		p.server = func(_ verbenastand.Server, r *http.Request) (*http.Response, error) {
			go func() {
				<-r.Context().Done()
				_ = server.CloseWithError(r.Context().Err())
			}()
			return newResponse(http.StatusOK, nil, body, 1<<20), nil
		}
		done := make(chan struct{})
		var w *httptest.ResponseRecorder
		go func() {
			w = p.do(newRequest(http.MethodGet, "/tin", "", ""))
			close(done)
		}()
		_, err := io.WriteString(server, strings.Repeat("x", 1<<19))
		require.NoError(t, err)
		p.Stop()
		_, err = io.WriteString(server, strings.Repeat("x", 1<<19))
		require.NoError(t, err)
		_ = server.Close()
		<-done
		require.Equal(t, http.StatusOK, w.Code)
		require.Len(t, w.Body.String(), 1<<20)
	})
}

// Guards against a planned stop that closes the connection of a request without a response
// because another host, which has its idempotency key, is still running it (issue 40).
func TestStopRespondsToForwardedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProxy(1, false)
		p.hosts = append(p.hosts, otherHost)
		p.peer = func(_ verbenastand.Host, r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		done := make(chan struct{})
		var w *httptest.ResponseRecorder
		go func() {
			w = p.do(newRequest(http.MethodPost, "/tin", "", deduplicator.Prefix(otherHost.Instance(), p.clock.Now().Add(time.Hour))+"a"))
			close(done)
		}()
		synctest.Wait()
		began := time.Now()
		p.Stop()
		<-done
		require.Zero(t, time.Since(began))
		requireVerdict(t, w, http.StatusGatewayTimeout, verbenastand.MayHaveRun, "draining")
	})
}

// Guards against a stopping host that takes a request late which it then has to break off
// (issue 40): whatever it takes can end before the stop.
func TestALateRequestIsTakenOnlyIfItEndsBeforeTheStop(t *testing.T) {
	cases := []struct {
		name, method string
		key          verbenastand.Instance
		stopIn       time.Duration
		status       int
		verdict      verbenastand.Verdict
		sent         bool
	}{
		{"an idempotent request", http.MethodGet, verbenastand.Instance{}, time.Second, http.StatusServiceUnavailable, verbenastand.NotRun, false},
		{"a request", http.MethodPost, verbenastand.Instance{}, time.Second, http.StatusServiceUnavailable, verbenastand.NotRun, false},
		{"a request with a key", http.MethodPost, host.Instance(), time.Second, http.StatusServiceUnavailable, verbenastand.NotRun, false},
		{"a request with the key of another host", http.MethodPost, otherHost.Instance(), time.Second, http.StatusGatewayTimeout, verbenastand.MayHaveRun, false},
		{"a request that ends before", http.MethodPost, verbenastand.Instance{}, 3 * time.Second, http.StatusOK, verbenastand.Ran, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newProxy(1, false)
				p.hosts = append(p.hosts, otherHost)
				p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) { return okResponse("tin"), nil }
				p.peer = func(verbenastand.Host, *http.Request) (*http.Response, error) {
					p.sent.Add(1)
					return okResponse("tin"), nil
				}
				key := ""
				if tc.key != (verbenastand.Instance{}) {
					key = deduplicator.Prefix(tc.key, p.clock.Now().Add(time.Minute)) + "a"
				}
				p.StopAt(p.clock.Now(), p.clock.Now().Add(tc.stopIn))
				w := p.do(newRequest(tc.method, "/tin", "", key))
				require.Equal(t, tc.status, w.Code)
				require.Equal(t, tc.verdict.String(), w.Header().Get(verbenastand.HeaderVerdict))
				require.Equal(t, tc.sent, p.sent.Load() > 0)
			})
		})
	}
}
