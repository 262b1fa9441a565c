package launcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Checks that a stopping host serves callers that use an earlier lookup response while that is
// valid, leaves time for what it takes from them, and writes all before the process is killed.
func TestAStopPlanFitsItsGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		for _, validity := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, time.Hour} {
			p := newStopPlan(grace, validity)
			require.Equal(t, min(validity, grace/2), p.intake)
			require.LessOrEqual(t, p.open, p.intake)
			require.GreaterOrEqual(t, p.handling-p.open, 2*p.open)
			require.Greater(t, p.handling, grace*5/6)
			require.Less(t, p.handling, p.exit)
			require.Less(t, p.exit, grace)
		}
	}
	require.Zero(t, newStopPlan(0, time.Second).intake)
}
