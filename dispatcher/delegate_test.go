package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/deduplicator"
	"github.com/verbenastand/verbenastand/quarantiner"
)

// newCutHost returns a host that reaches no server, and others that do and to which it
// can forward requests.
func newCutHost(others int, server func(verbenastand.Server, *http.Request) (*http.Response, error)) (cut *proxy, helpers []*proxy) {
	cut = newProxy(4, false)
	cut.cut.Store(true)
	cut.server = func(verbenastand.Server, *http.Request) (*http.Response, error) {
		panic("a host that reaches no server must not try one")
	}
	byID := make(map[verbenastand.HostID]*proxy)
	for i := range others {
		helper := newProxy(4, false)
		helper.server = server
		h := verbenastand.NewHost(verbenastand.HostConfig{Instance: verbenastand.NewInstance(verbenastand.HostID(fmt.Sprint("helper-", i)), 1), Zone: "zone-b"})
		byID[h.ID()] = helper
		cut.hosts = append(cut.hosts, h)
		helpers = append(helpers, helper)
	}
	cut.peer = func(h verbenastand.Host, r *http.Request) (*http.Response, error) {
		w := httptest.NewRecorder()
		r.RemoteAddr = "10.9.9.9:1"
		byID[h.ID()].ForwardHandler().ServeHTTP(w, r)
		return w.Result(), nil
	}
	cut.applyTicket(2, 4, false)
	return cut, helpers
}

func sentBy(helpers []*proxy) (sent int) {
	for _, h := range helpers {
		sent += int(h.sent.Load())
	}
	return sent
}

// Guards against an entry host that queues or refuses requests of its callers because it
// reaches no server itself (issue 26, RECOVER).
func TestAHostThatReachesNoServerDelegates(t *testing.T) {
	cases := []struct {
		name, method string
		keyed        bool
	}{
		{"idempotent", http.MethodGet, false},
		{"not idempotent", http.MethodPost, false},
		{"with an idempotency key", http.MethodPost, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var deadline, key string
			cut, helpers := newCutHost(2, func(_ verbenastand.Server, r *http.Request) (*http.Response, error) {
				deadline, key = r.Header.Get(verbenastand.HeaderTimeout), r.Header.Get(verbenastand.HeaderIdempotencyKey)
				body, _ := io.ReadAll(r.Body)
				return okResponse("got " + string(body)), nil
			})
			requestKey := ""
			if tc.keyed {
				requestKey = deduplicator.Prefix(host.Instance(), cut.clock.Now().Add(time.Minute)) + "k1"
			}
			r := newRequest(tc.method, "/tin", "body", requestKey)
			r.Header.Set(verbenastand.HeaderTimeout, "700")
			w := cut.do(r)
			require.Equal(t, http.StatusOK, w.Code, w.Body.String())
			require.Equal(t, "got body", w.Body.String())
			require.Equal(t, verbenastand.Ran.String(), w.Header().Get(verbenastand.HeaderVerdict))
			require.Equal(t, requestKey, key)
			left, err := strconv.Atoi(deadline)
			require.NoError(t, err)
			require.LessOrEqual(t, left, 700)
			if !tc.keyed {
				return
			}
			for range 2 {
				again := cut.do(newRequest(tc.method, "/tin", "body", requestKey))
				require.Equal(t, "got body", again.Body.String())
			}
			require.Equal(t, 1, sentBy(helpers), "the key runs once, whoever sends it")
		})
	}
}

// TestADelegatedRequestIsSentOnce: a request that must not run twice goes to one host
// only, unless that one has certainly not sent it.
func TestADelegatedRequestIsSentOnce(t *testing.T) {
	lost := verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonKeyOwnerUnreachable, errors.New("lost"))
	unreached := verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonKeyOwnerUnreachable, errors.New("no connection"))
	cases := []struct {
		name      string
		err       error
		contacted int
		verdict   verbenastand.Verdict
	}{
		{"the response is lost", lost, 1, verbenastand.MayHaveRun},
		{"no host is reached", unreached, 3, verbenastand.NotRun},
	}
	for _, tc := range cases {
		for _, keyed := range []bool{false, true} {
			t.Run(fmt.Sprint(tc.name, ", keyed ", keyed), func(t *testing.T) {
				cut, _ := newCutHost(5, nil)
				contacted := 0
				cut.peer = func(verbenastand.Host, *http.Request) (*http.Response, error) {
					contacted++
					return nil, tc.err
				}
				key := ""
				if keyed {
					key = deduplicator.Prefix(host.Instance(), cut.clock.Now().Add(time.Minute)) + "k1"
				}
				w := cut.do(newRequest(http.MethodPost, "/tin", "", key))
				require.Equal(t, tc.verdict.String(), w.Header().Get(verbenastand.HeaderVerdict))
				require.Equal(t, tc.contacted, contacted)
			})
		}
	}
}

// TestNoHostReachesTheService: requests are refused at once, as not run and with a delay.
func TestNoHostReachesTheService(t *testing.T) {
	cut, helpers := newCutHost(3, nil)
	for _, h := range helpers {
		h.cut.Store(true)
	}
	w := cut.do(newRequest(http.MethodPost, "/tin", "", ""))
	requireVerdict(t, w, http.StatusServiceUnavailable, verbenastand.NotRun, "noServer")
	require.NotEmpty(t, w.Header().Get("Retry-After"))
	require.Zero(t, sentBy(helpers))
	cut.hosts = []verbenastand.Host{host}
	w = cut.do(newRequest(http.MethodGet, "/tin", "", ""))
	requireVerdict(t, w, http.StatusServiceUnavailable, verbenastand.NotRun, "noServer")
}

// TestDetachedAndLeavingHostsAreNoDelegates: no request goes to a host that could not
// send it.
func TestDetachedAndLeavingHostsAreNoDelegates(t *testing.T) {
	cut, _ := newCutHost(1, nil)
	for i, c := range []verbenastand.HostConfig{{Detached: true}, {Leaving: true}} {
		c.Instance = verbenastand.NewInstance(verbenastand.HostID(fmt.Sprint("other-", i)), 1)
		cut.hosts = append(cut.hosts, verbenastand.NewHost(c))
	}
	cut.applyTicket(3, 4, false)
	cut.peer = func(h verbenastand.Host, _ *http.Request) (*http.Response, error) {
		require.Equal(t, "helper-0", string(h.ID()))
		return newResponse(http.StatusOK, http.Header{verbenastand.HeaderVerdict: {verbenastand.Ran.String()}}, strings.NewReader("ok"), 2), nil
	}
	require.Equal(t, http.StatusOK, cut.do(newRequest(http.MethodPost, "/tin", "", "")).Code)
}

// TestCrashEvidenceHoldsOverDelegation: the evidence against a request is bound to its
// caller, not to the host that delegates it.
func TestCrashEvidenceHoldsOverDelegation(t *testing.T) {
	cut, helpers := newCutHost(1, func(verbenastand.Server, *http.Request) (*http.Response, error) { return nil, connectionLost() })
	for range 5 {
		r := newRequest(http.MethodGet, "/crash", "", "")
		r.RemoteAddr = "10.1.1.1:9"
		_ = cut.do(r)
	}
	require.LessOrEqual(t, sentBy(helpers), quarantiner.CrashLimit)
	require.ErrorContains(t, helpers[0].quarantiner.Acquire(context.Background(), quarantiner.NewFingerprint(quarantiner.FingerprintConfig{
		Caller: "10.1.1.1", Service: "tins", Method: http.MethodGet, Path: "/crash",
	})), "quarantined")
}

// Guards against harmless requests that are taken for ones that crash servers, because the
// host loses its connections to all servers while they run (issue 26, RECOVER).
func TestALostLinkIsNoEvidenceOfCrashes(t *testing.T) {
	p := newProxy(8, false)
	p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) { return nil, connectionLost() }
	p.unreached.Store(true)
	for range 6 {
		p.do(newRequest(http.MethodPost, "/popular", "", ""))
	}
	require.Zero(t, p.notified.Load())
	require.Zero(t, p.quarantiner.Quarantined())
}

// Guards against a request with the key of another host that is run without its key,
// because the host that received it reaches no server.
func TestAKeyOfAnotherHostGoesToItsOwner(t *testing.T) {
	cut, helpers := newCutHost(1, func(verbenastand.Server, *http.Request) (*http.Response, error) { return okResponse("ran"), nil })
	owner := cut.hosts[1]
	cut.peer = func(h verbenastand.Host, r *http.Request) (*http.Response, error) {
		require.Equal(t, owner.ID(), h.ID())
		require.Empty(t, r.Header.Get("Verbenastand-Delegated"))
		return newResponse(http.StatusOK, http.Header{verbenastand.HeaderVerdict: {verbenastand.Ran.String()}}, strings.NewReader("stored"), 6), nil
	}
	key := deduplicator.Prefix(owner.Instance(), cut.clock.Now().Add(time.Minute)) + "k1"
	w := cut.do(newRequest(http.MethodPost, "/tin", "", key))
	require.Equal(t, "stored", w.Body.String())
	require.Zero(t, sentBy(helpers))
}
