package retrier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/verbenastand/verbenastand/internal/fake"
)

const (
	windowSpan  = 10 * time.Second
	windowRatio = 0.2
	allowance   = 58
)

// Hosts do not coordinate their retries, so their sum could exceed the budget of the
// deployment. In any window it must stay within the allowance plus the ratio of the
// requests in that window, the previous one, or the one half a window earlier. This
// holds even if hosts restart or are partitioned.
func TestHostsTogetherStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := fake.NewClock()
		hosts := rapid.IntRange(1, 14).Draw(t, "hosts")
		newWindow := func() *WindowBudget {
			return NewWindowBudget(WindowBudgetConfig{Clock: clock, Duration: windowSpan, Ratio: windowRatio, Allowance: allowance, Hosts: func() int { return hosts }})
		}
		windows := make([]*WindowBudget, hosts)
		for i := range windows {
			windows[i] = newWindow()
		}
		const step = 100 * time.Millisecond
		var requests, retries []int
		for range 300 {
			clock.Advance(step)
			load := rapid.IntRange(0, 6).Draw(t, "load")
			sent := 0
			for i := range windows {
				for range load {
					windows[i].RecordRequest()
				}
				for range rapid.IntRange(0, 4).Draw(t, "failures") {
					if windows[i].Allow() {
						sent++
					}
				}
			}
			requests = append(requests, load*hosts)
			retries = append(retries, sent)
		}
		steps := int(windowSpan / step)
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

func TestNoAllowanceWhileTheFleetIsUnknown(t *testing.T) {
	fleet := 0
	w := NewWindowBudget(WindowBudgetConfig{Clock: fake.NewClock(), Duration: windowSpan, Ratio: windowRatio, Allowance: allowance, Hosts: func() int { return fleet }})
	require.False(t, w.Allow())
	fleet = 4
	require.True(t, w.Allow())
}

func TestRetriesAreAvailableAgainAfterAWindow(t *testing.T) {
	clock := fake.NewClock()
	w := NewWindowBudget(WindowBudgetConfig{Clock: clock, Duration: windowSpan, Ratio: 0, Allowance: 10, Hosts: func() int { return 1 }})
	for range 8 {
		require.True(t, w.Allow())
	}
	require.False(t, w.Allow())
	clock.Advance(windowSpan / 2)
	require.False(t, w.Allow())
	clock.Advance(windowSpan)
	require.True(t, w.Allow())
}
