package excluder

import (
	"flag"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

var process = verbenastand.ServerProcess{Server: "server", StartTime: 1, Service: "service"}

func refusal(retryAfter ...string) Response {
	return Response{Process: process, Status: http.StatusServiceUnavailable, RetryAfter: retryAfter}
}

func TestWhatResponsesSay(t *testing.T) {
	cases := []struct {
		name     string
		response Response
		want     verbenastand.Exclusion
		excluded bool
		changes  []ChangeKind
	}{
		{"nothing", Response{Process: process, Status: 200}, verbenastand.Exclusion{}, false, nil},
		{"leaving", Response{Process: process, Status: 200, Leaving: []string{"1"}}, verbenastand.Exclusion{Leaving: true}, true, []ChangeKind{Leaving}},
		{"leaving, in a failure", Response{Process: process, Status: 500, Leaving: []string{"1"}}, verbenastand.Exclusion{Leaving: true}, true, []ChangeKind{Leaving}},
		{"leaving, malformed", Response{Process: process, Status: 200, Leaving: []string{"maybe"}}, verbenastand.Exclusion{}, false, []ChangeKind{Malformed}},
		{"leaving and a pause", Response{Process: process, Status: 503, Leaving: []string{"1"}, RetryAfter: []string{"2"}}, verbenastand.Exclusion{Leaving: true}, true, []ChangeKind{Leaving, Paused}},
		{"a pause", refusal("2"), verbenastand.Exclusion{Wait: 2 * time.Second}, true, []ChangeKind{Paused}},
		{"a fraction", refusal(" 0.25 "), verbenastand.Exclusion{Wait: 250 * time.Millisecond}, true, []ChangeKind{Paused}},
		{"two fields", refusal("2", "5"), verbenastand.Exclusion{Wait: 5 * time.Second}, true, []ChangeKind{Paused}},
		{"two fields, one malformed", refusal("x", "5"), verbenastand.Exclusion{Wait: 5 * time.Second}, true, []ChangeKind{Malformed, Paused}},
		{"huge", refusal("1000000000000000000000000000000"), verbenastand.Exclusion{Wait: verbenastand.MaxRetryAfter}, true, []ChangeKind{Paused}},
		{"zero", refusal("0"), verbenastand.Exclusion{}, false, nil},
		{"negative", refusal("-1"), verbenastand.Exclusion{}, false, []ChangeKind{Malformed}},
		{"no number", refusal("NaN"), verbenastand.Exclusion{}, false, []ChangeKind{Malformed}},
		{"infinite", refusal("Inf"), verbenastand.Exclusion{}, false, []ChangeKind{Malformed}},
		{"hexadecimal", refusal("0x10"), verbenastand.Exclusion{}, false, []ChangeKind{Malformed}},
		{"exponent", refusal("1e2"), verbenastand.Exclusion{}, false, []ChangeKind{Malformed}},
		{"empty", refusal(""), verbenastand.Exclusion{}, false, []ChangeKind{Malformed}},
		{"two points", refusal("1.2.3"), verbenastand.Exclusion{}, false, []ChangeKind{Malformed}},
		{"a date", refusal("Fri, 04 Dec 2026 20:00:00 GMT"), verbenastand.Exclusion{}, false, []ChangeKind{Malformed}},
		{"another status", Response{Process: process, Status: 500, RetryAfter: []string{"2"}}, verbenastand.Exclusion{}, false, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var changes []ChangeKind
			e := NewExcluder(Config{Clock: fake.NewClock(), OnChange: func(c Change) { changes = append(changes, c.Kind) }})
			e.Observe(tc.response)
			e.Observe(tc.response)
			got, excluded := e.Exclusion(process)
			require.Equal(t, tc.want, got)
			require.Equal(t, tc.excluded, excluded)
			require.Equal(t, tc.changes, changes, "each is told once")
			later := process
			later.StartTime = 2
			_, excluded = e.Exclusion(later)
			require.False(t, excluded, "it is kept for one process")
		})
	}
}

// Checks that the longest pause holds, whatever other responses say meanwhile.
func TestTheLongestPauseHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := fake.NewClock()
		e := NewExcluder(Config{Clock: clock})
		var until time.Time
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "passed")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				pause := rapid.IntRange(0, 5).Draw(t, "pause")
				e.Observe(refusal(fmt.Sprint(pause)))
				if end := clock.Now().Add(time.Duration(pause) * time.Second); end.After(until) {
					until = end
				}
			case 1:
				e.Observe(Response{Process: process, Status: 200})
			default:
				e.Sweep(func(verbenastand.ServerProcess) bool { return rapid.Bool().Draw(t, "registered") })
			}
			got, excluded := e.Exclusion(process)
			require.Equal(t, clock.Now().Before(until), excluded)
			require.Equal(t, max(0, until.Sub(clock.Now())), max(0, got.Wait))
		}
	})
}

// Checks when it ends that a server is leaving: not while its process is registered, nor soon
// after, since lists of servers may be out of date.
func TestLeavingEndsAfterTheRegistration(t *testing.T) {
	clock := fake.NewClock()
	e := NewExcluder(Config{Clock: clock})
	e.Observe(Response{Process: process, Status: 200, Leaving: []string{"1"}})
	registered := true
	sweep := func(length time.Duration) bool {
		for range length / time.Minute {
			clock.Advance(time.Minute)
			e.Sweep(func(verbenastand.ServerProcess) bool { return registered })
		}
		_, excluded := e.Exclusion(process)
		return excluded
	}
	require.True(t, sweep(24*time.Hour))
	registered = false
	require.True(t, sweep(leavingRetention-time.Minute))
	require.False(t, sweep(5*time.Minute))
	require.Empty(t, e.LeavingServers())
}

func TestExclusionsAreBounded(t *testing.T) {
	e := NewExcluder(Config{Clock: fake.NewClock()})
	for i := range 2 * MaxServers {
		p := verbenastand.ServerProcess{Server: verbenastand.ServerID(fmt.Sprint(i))}
		e.Observe(Response{Process: p, Status: 503, Leaving: []string{"1", "maybe"}, RetryAfter: []string{"1", "soon"}})
	}
	leaving, _ := e.Counts()
	require.Equal(t, MaxServers, leaving)
	require.LessOrEqual(t, len(e.malformed), MaxServers)
}
