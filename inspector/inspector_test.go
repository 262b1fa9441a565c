package inspector

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/carrier"
)

type explainer func(carrier.RouteQuery) carrier.Decision

func (e explainer) Explain(q carrier.RouteQuery) carrier.Decision { return e(q) }

func testDecision() carrier.Decision {
	route := verbenastand.NewRoute(verbenastand.RouteConfig{
		Name: "r", RetrySafety: verbenastand.Idempotent, Split: []verbenastand.WeightedService{
			verbenastand.NewWeightedService("svc", 3), verbenastand.NewWeightedService("new", 1),
		},
	})
	server := func(id string) verbenastand.Registration {
		return verbenastand.NewRegistration(verbenastand.RegistrationConfig{Server: verbenastand.ServerID(id), Zone: "z", Address: "10.0.0.1:80"})
	}
	return carrier.Decision{
		Version: 7, Route: &route, Service: "svc", Timeout: time.Second, Target: 250 * time.Millisecond, Step: carrier.CheckedStep,
		Explanation: balancer.Explanation{Expected: 80 * time.Millisecond, Waiting: 2, MaxChecks: 5, Candidates: []balancer.CandidateState{
			{
				Server: server("s1"), Tier: balancer.Degraded, CrossZone: true, Reported: true, Age: 20 * time.Millisecond, Estimate: 90 * time.Millisecond,
				Report: verbenastand.LoadReport{Running: 2, Waiting: 1, Slots: 6, Slowdown: 1.5}, Limited: true, Share: 2.5, Warming: true,
			},
			{Server: server("s2"), Excluded: balancer.ErrPaused, Wait: 3 * time.Second},
		}},
	}
}

// Guards against a query that is answered with a part of the decision, and against one whose
// parameters are malformed and ignored.
func TestQueries(t *testing.T) {
	cases := []struct {
		method, uri string
		status      int
		want        string
	}{
		{http.MethodGet, "/route?host=a.example&path=/x/1", http.StatusOK, `"verdict":"checked"`},
		{http.MethodGet, "/route?host=a.example&path=/x/1&timeoutMs=300", http.StatusOK, `"timeoutMs":300`},
		{http.MethodGet, "/route?host=a.example", http.StatusBadRequest, "want the parameters"},
		{http.MethodGet, "/route?host=a.example&path=/x/1&timeoutMs=-1", http.StatusBadRequest, "timeoutMs"},
		{http.MethodGet, "/route?host=a.example&path=/x/1&timeoutMs=99999999999", http.StatusBadRequest, "timeoutMs"},
	}
	handler := NewHandler("front-1", explainer(func(q carrier.RouteQuery) carrier.Decision {
		require.Equal(t, "a.example", q.HostName)
		require.Equal(t, "/x/1", q.Path)
		d := testDecision()
		if q.Timeout > 0 {
			d.Timeout = q.Timeout
		}
		return d
	}))
	for _, tc := range cases {
		t.Run(tc.uri, func(t *testing.T) {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(tc.method, tc.uri, nil))
			require.Equal(t, tc.status, w.Code)
			require.Contains(t, w.Body.String(), tc.want)
		})
	}
}

func TestReportsAsText(t *testing.T) {
	refused := carrier.Decision{Version: 7, Step: carrier.RefusedStep, Reason: verbenastand.ReasonNoRoute}
	cases := []struct {
		name     string
		decision carrier.Decision
		want     []string
	}{
		{"checked", testDecision(), []string{
			"host front-1, table 7", "route r (idempotent), split svc 3, new 1, next svc",
			"time limit 1000 ms, target 250 ms, expected 80 ms, 2 waiting", "verdict checked: up to 5 servers in this order",
			"s1      z     degraded  2+1/6  20      1.5       90           other zone, cold, limit share 2.5/s",
			"s2      z     paused    -      -       -         -            for 3000 ms",
		}},
		{"refused", refused, []string{"host front-1, table 7", "verdict refused: noRoute"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			// A report is printed as the client has decoded it.
			data, err := json.Marshal(newReport("front-1", tc.decision))
			require.NoError(t, err)
			var report Report
			require.NoError(t, json.Unmarshal(data, &report))
			var out bytes.Buffer
			require.NoError(t, Print(&out, report))
			for _, line := range tc.want {
				require.Contains(t, out.String(), line)
			}
		})
	}
}
