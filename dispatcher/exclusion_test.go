package dispatcher_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/scheduler"
)

// pauseStart is how long after a server has asked for a pause it may still get requests; the
// users' bound.
const pauseStart = 500 * time.Millisecond

// tick lets time pass in small steps.
func (p *proxy) tick(length time.Duration) {
	const step = 50 * time.Millisecond
	for range length / step {
		p.clock.Advance(step)
		p.registrar.Tick(p.clock.Now())
	}
}

// Guards against a server that gets requests during the pause for which it has asked (issue
// 29, DRAIN; the rule is BUDGET).
func TestAServerGetsNoRequestsDuringItsPause(t *testing.T) {
	cases := []struct {
		text   string
		pauses time.Duration
	}{
		{"3", 3 * time.Second}, {"12.5", 12500 * time.Millisecond}, {"0.8", 800 * time.Millisecond}, {"9999999999999", 20 * time.Second}, {"-3", 0}, {"soon", 0}, {"0", 0},
	}
	for _, tc := range cases {
		t.Run(tc.text, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				late := requestsDuringPauses(t, tc.text, tc.pauses)
				require.LessOrEqual(t, late, 2, "requests during a pause")
			})
		})
	}
}

// requestsDuringPauses sends requests for ten seconds to a server that asks for a pause in each
// response, and returns the largest number that it got in one pause, after its start.
func requestsDuringPauses(t *testing.T, retryAfter string, pause time.Duration) (most int) {
	p := newProxy(1, false)
	var mu sync.Mutex
	var askedAt time.Time
	late := 0
	p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) {
		mu.Lock()
		defer mu.Unlock()
		after := p.clock.Now().Sub(askedAt)
		if askedAt.IsZero() || after > pause {
			askedAt, late = p.clock.Now(), 0
		} else if after > pauseStart {
			late++
		}
		most = max(most, late)
		h := http.Header{"Retry-After": {retryAfter}, verbenastand.HeaderVerdict: {verbenastand.NotRun.String()}}
		return newResponse(http.StatusServiceUnavailable, h, strings.NewReader(""), 0), nil
	}
	var calls sync.WaitGroup
	for i := range 200 {
		calls.Go(func() { p.do(newRequest(http.MethodGet, fmt.Sprint("/tins/", i), "", "")) })
		synctest.Wait()
		p.tick(50 * time.Millisecond)
	}
	for synctest.Wait(); p.InFlight() > 0; synctest.Wait() {
		p.tick(50 * time.Millisecond)
	}
	calls.Wait()
	require.False(t, askedAt.IsZero())
	return most
}

// Checks that requests are refused at once while all servers pause or leave.
func TestRequestsAreRefusedAtOnceWhileAllServersPauseOrLeave(t *testing.T) {
	cases := []struct {
		name   string
		header http.Header
		// retryAfter is the least delay in seconds that callers are told.
		retryAfter int
	}{
		{"pause", http.Header{"Retry-After": {"30"}, verbenastand.HeaderVerdict: {verbenastand.NotRun.String()}}, 29},
		{"leave", http.Header{verbenastand.HeaderServerDraining: {"true"}, verbenastand.HeaderVerdict: {verbenastand.NotRun.String()}}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newProxy(2, false)
			p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) {
				return newResponse(http.StatusServiceUnavailable, tc.header.Clone(), strings.NewReader(""), 0), nil
			}
			for i := range 4 {
				p.do(newRequest(http.MethodGet, fmt.Sprint("/tins/", i), "", ""))
				p.tick(200 * time.Millisecond)
			}
			sent := p.sent.Load()
			began := time.Now()
			w := p.do(newRequest(http.MethodPost, "/tin", "", ""))
			require.Equal(t, http.StatusServiceUnavailable, w.Code)
			require.Less(t, time.Since(began), time.Second)
			seconds, err := strconv.Atoi(w.Header().Get("Retry-After"))
			require.NoError(t, err)
			require.GreaterOrEqual(t, seconds, tc.retryAfter)
			require.Equal(t, sent, p.sent.Load())
		})
	}
}

// Checks that a pause ends when the server has started again, and that it is not probed
// meanwhile.
func TestAPauseEndsWithTheProcess(t *testing.T) {
	p := newProxy(1, false)
	p.probeServers("-1")
	p.server = func(s verbenastand.Server, _ *http.Request) (*http.Response, error) {
		h := http.Header{
			"Retry-After": {"600"}, verbenastand.HeaderVerdict: {verbenastand.NotRun.String()},
			verbenastand.HeaderServerInstance: {string(s.ID()) + "-1"},
		}
		return newResponse(http.StatusServiceUnavailable, h, strings.NewReader(""), 0), nil
	}
	require.Equal(t, http.StatusServiceUnavailable, p.do(newRequest(http.MethodPost, "/tin", "", "")).Code)
	p.tick(time.Second)
	p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) { return okResponse("ok"), nil }
	pool := p.registrar.Find("tins").Scheduler()
	require.Empty(t, pool.ProbeTargets(p.clock.Now().Add(time.Hour), 0))
	sent := p.sent.Load()
	require.Equal(t, http.StatusServiceUnavailable, p.do(newRequest(http.MethodPost, "/tin", "", "")).Code)
	require.Equal(t, sent, p.sent.Load())
	pool.RecordProbe("server-0", true, scheduler.Report{Instance: "server-0-2"})
	p.tick(time.Second)
	require.Equal(t, http.StatusOK, p.do(newRequest(http.MethodPost, "/tin", "", "")).Code)
}
