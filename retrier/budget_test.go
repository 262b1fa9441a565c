package retrier

import (
	"testing"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

func TestRetriesStayWithinTheirShare(t *testing.T) {
	b := NewBudget(Config{})
	const first = 100_000
	sent := 0
	for range first {
		b.Deposit(false)
		for attempt := 1; ; attempt++ {
			sent++
			if !b.Allow(Request{Attempt: attempt, Idempotent: true, Verdict: verbenastand.MayHaveRun}) {
				break
			}
		}
	}
	require.LessOrEqual(t, sent, first+first*DefaultShare/1000+DefaultBurst)
}

// The last of a chain of fifteen services always fails. If each level retried
// independently, the load on it would grow exponentially with the depth. It must
// grow by no more than the sum of the budgets.
func TestRetriesDoNotMultiplyAlongAChain(t *testing.T) {
	const depth, calls = 15, 10_000
	budgets := make([]*Budget, depth)
	for i := range budgets {
		budgets[i] = NewBudget(Config{})
	}
	lastLevelCalls := 0
	var call func(level int, retried bool) bool
	call = func(level int, retried bool) bool {
		if level == depth {
			lastLevelCalls++
			return false
		}
		budgets[level].Deposit(retried)
		for attempt := 1; ; attempt++ {
			if call(level+1, retried || attempt > 1) {
				return true
			}
			if !budgets[level].Allow(Request{Attempt: attempt, Retried: retried, Idempotent: true, Verdict: verbenastand.MayHaveRun}) {
				return false
			}
		}
	}
	for range calls {
		call(0, false)
	}
	perLevel := float64(DefaultShare) / 1000
	require.Less(t, float64(lastLevelCalls)/calls, 1+(depth+1)*perLevel+0.1)
	t.Logf("%d calls at the last level for %d at the first", lastLevelCalls, calls)
}

func TestOnlySafeRequestsAreRetried(t *testing.T) {
	cases := []struct {
		name    string
		request Request
		allowed bool
	}{
		{"not run", Request{Attempt: 1, Verdict: verbenastand.NotRun}, true},
		{"may have run, idempotent", Request{Attempt: 1, Idempotent: true, Verdict: verbenastand.MayHaveRun}, true},
		{"may have run, not idempotent", Request{Attempt: 1, Verdict: verbenastand.MayHaveRun}, false},
		{"itself a retry", Request{Attempt: 1, Retried: true, Verdict: verbenastand.NotRun}, false},
		{"itself a retry that reached no server", Request{Attempt: 1, Retried: true, Unreached: true, Verdict: verbenastand.NotRun}, true},
		{"last attempt", Request{Attempt: MaxAttempts, Verdict: verbenastand.NotRun}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := NewBudget(Config{})
			for range 100 {
				b.Deposit(false)
			}
			require.Equal(t, c.allowed, b.Allow(c.request))
		})
	}
}
