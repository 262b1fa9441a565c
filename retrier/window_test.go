package retrier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/verbenastand/verbenastand/internal/fake"
)

const (
	windowDuration = 10 * time.Second
	windowRatio    = 0.2
	allowance      = 58
)

// Hosts do not coordinate their retries, so their sum could exceed the budget of the
// deployment. In any window it must stay within the allowance plus the ratio times
// the number of requests, which is the highest of that window, the previous one and
// the one half a window earlier. This holds even if hosts restart or are partitioned.
func TestHostsTogetherStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := fake.NewClock()
		hosts := rapid.IntRange(1, 14).Draw(t, "hosts")
		newBudget := func() *WindowBudget {
			return NewWindowBudget(WindowBudgetConfig{Clock: clock, Duration: windowDuration, Ratio: windowRatio, Allowance: allowance, Hosts: func() int { return hosts }})
		}
		budgets := make([]*WindowBudget, hosts)
		for i := range budgets {
			budgets[i] = newBudget()
		}
		const step = 100 * time.Millisecond
		var requests, retries []int
		for range 300 {
			clock.Advance(step)
			load := rapid.IntRange(0, 6).Draw(t, "load")
			sent := 0
			for i := range budgets {
				for range load {
					budgets[i].RecordRequest()
				}
				for range rapid.IntRange(0, 4).Draw(t, "failures") {
					if budgets[i].Allow() {
						sent++
					}
				}
			}
			requests = append(requests, load*hosts)
			retries = append(retries, sent)
		}
		steps := int(windowDuration / step)
		sum := func(list []int, from int) (n int) {
			for i := max(0, from); i < min(len(list), from+steps); i++ {
				n += list[i]
			}
			return n
		}
		for from := range len(requests) - steps {
			maxRequests := max(sum(requests, from), sum(requests, from-steps), sum(requests, from-steps/2))
			limit := windowRatio*float64(maxRequests) + allowance
			if got := sum(retries, from); float64(got) > limit {
				t.Fatalf("%d retries in the window from step %d, the budget is %.1f", got, from, limit)
			}
		}
	})
}

func TestNoAllowanceWhileTheHostCountIsUnknown(t *testing.T) {
	hosts := 0
	w := NewWindowBudget(WindowBudgetConfig{Clock: fake.NewClock(), Duration: windowDuration, Ratio: windowRatio, Allowance: allowance, Hosts: func() int { return hosts }})
	require.False(t, w.Allow())
	hosts = 4
	require.True(t, w.Allow())
}

func TestRetriesAreAvailableAgainAfterAWindow(t *testing.T) {
	clock := fake.NewClock()
	w := NewWindowBudget(WindowBudgetConfig{Clock: clock, Duration: windowDuration, Ratio: 0, Allowance: 10, Hosts: func() int { return 1 }})
	for range 8 {
		require.True(t, w.Allow())
	}
	require.False(t, w.Allow())
	clock.Advance(windowDuration / 2)
	require.False(t, w.Allow())
	clock.Advance(windowDuration)
	require.True(t, w.Allow())
}
