package dispatcher_test

import (
	"net/http"
	"testing"
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
// service responds, its crashes leave no evidence; and against innocent requests that are
// refused because a host was cut off from servers (issue 29, BUDGET; issue 26, RECOVER).
func TestACrashIsProvedThoughNothingElseResponds(t *testing.T) {
	cases := []struct {
		name string
		// later is the start of the servers after the losses.
		later    string
		down     bool
		response int
	}{
		{"the servers have started again", "-2", false, http.StatusServiceUnavailable},
		{"the servers are down", "-1", true, http.StatusServiceUnavailable},
		{"the same servers respond again", "-1", false, http.StatusOK},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newProxy(3, false)
			p.probeServers("-1")
			p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) { return nil, connectionLost() }
			p.unreached.Store(true)
			for range 10 {
				p.do(newRequest(http.MethodPost, "/popular", "", ""))
				p.clock.Advance(3 * time.Second)
			}
			require.EqualValues(t, quarantiner.CrashLimit, p.sent.Load())
			p.unreached.Store(false)
			p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) { return okResponse("ok"), nil }
			if !tc.down {
				p.accepting.Store(true)
				p.probeServers(tc.later)
			}
			w := p.do(newRequest(http.MethodPost, "/popular", "", ""))
			require.Equal(t, tc.response, w.Code, w.Body.String())
		})
	}
}
