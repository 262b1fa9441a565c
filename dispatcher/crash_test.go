package dispatcher_test

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/quarantiner"
	"github.com/verbenastand/verbenastand/scheduler"
)

// probeServers gives all servers a probe, to which processes of the given start respond.
func (p *proxy) probeServers(start string) {
	s := p.registrar.Find("tins").Scheduler()
	for _, target := range s.ProbeTargets(p.clock.Now().Add(time.Hour), 0) {
		s.RecordProbe(target.ID(), true, scheduler.Report{Instance: string(target.ID()) + start})
	}
}

// Guards against a request that crashes further servers because, while nothing else of the
// service responds, its crashes leave no evidence; and against harmless requests that are
// refused because a host was cut off from servers (issue 29, BUDGET; issue 26, RECOVER).
func TestACrashIsProvedThoughNothingElseResponds(t *testing.T) {
	cases := []struct {
		name string
		// reached is set if other servers respond when the connections are lost.
		reached bool
		// later is the start of the servers after the losses, empty if they have sent no
		// response since.
		later  string
		down   bool
		status int
		// soon is set if the Retry-After delay is a few seconds.
		soon bool
	}{
		{"the servers have started again", false, "-2", false, http.StatusServiceUnavailable, false},
		{"the servers are down", false, "", true, http.StatusServiceUnavailable, false},
		{"the servers accept connections", false, "", false, http.StatusServiceUnavailable, true},
		{"the same servers respond again", false, "-1", false, http.StatusOK, false},
		{"the same servers respond again, others did", true, "-1", false, http.StatusOK, false},
		{"the servers have started again, others did respond", true, "-2", false, http.StatusServiceUnavailable, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newProxy(3, false)
			p.probeServers("-1")
			p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) { return nil, connectionLost() }
			p.unreached.Store(!tc.reached)
			for range 10 {
				p.do(newRequest(http.MethodPost, "/popular", "", ""))
				p.clock.Advance(3 * time.Second)
			}
			require.EqualValues(t, quarantiner.CrashLimit, p.sent.Load())
			p.unreached.Store(false)
			p.accepting.Store(!tc.down)
			p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) { return okResponse("ok"), nil }
			if tc.later != "" {
				p.probeServers(tc.later)
			}
			w := p.do(newRequest(http.MethodPost, "/popular", "", ""))
			require.Equal(t, tc.status, w.Code, w.Body.String())
			if tc.status == http.StatusServiceUnavailable {
				seconds, err := strconv.Atoi(w.Header().Get("Retry-After"))
				require.NoError(t, err)
				require.Equal(t, tc.soon, seconds <= int(quarantiner.DefaultRegistrationTime.Seconds()), "%d s", seconds)
			}
		})
	}
}

// Guards against a hedge of a request that may have crashed a server, which is not proved.
func TestAPossiblySuspectedRequestIsNotHedged(t *testing.T) {
	for _, lost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := newProxy(3, false)
			p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) { return okResponse("ok"), nil }
			p.do(newRequest(http.MethodGet, "/tins", "", ""))
			request := newRequest(http.MethodGet, "/slow", "", "")
			if lost {
				caller, _, err := net.SplitHostPort(request.RemoteAddr)
				require.NoError(t, err)
				fingerprint := quarantiner.NewFingerprint(quarantiner.FingerprintConfig{Caller: caller, Service: "tins", Method: http.MethodGet, Path: "/slow"})
				p.quarantiner.RecordLoss(fingerprint, verbenastand.NewLoss(verbenastand.LossConfig{Server: "gone", Service: "tins"}), verbenastand.ProcessUnknown)
				require.False(t, p.quarantiner.Suspected(fingerprint))
			}
			sent := p.sent.Load()
			release := make(chan struct{})
			p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) {
				<-release
				return okResponse("ok"), nil
			}
			var call sync.WaitGroup
			call.Go(func() { p.do(request) })
			synctest.Wait()
			for range 10 {
				p.clock.Advance(time.Second)
				time.Sleep(time.Second)
				synctest.Wait()
			}
			hedged := p.sent.Load()-sent > 1
			close(release)
			call.Wait()
			require.Equal(t, !lost, hedged)
		})
	}
}
