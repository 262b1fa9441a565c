package launcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stopping host that takes requests which it then breaks off: at any grace
// period the intake ends within 3 s, servers keep their time until the last sixth, and all
// is written before the process is killed.
func TestAStopPlanFitsItsGracePeriod(t *testing.T) {
	const lateSend, lag = 3 * time.Second, 300 * time.Millisecond
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		t.Run(grace.String(), func(t *testing.T) {
			p := newStopPlan(grace, maxGatewayIntake)
			require.LessOrEqual(t, p.intake, lateSend-lag)
			require.LessOrEqual(t, p.intake, grace/2)
			require.GreaterOrEqual(t, p.intake, min(grace/2, 2*time.Second), "callers are served as before at first")
			require.Greater(t, p.handling, grace*5/6)
			require.Less(t, p.handling, p.exit)
			require.Less(t, p.exit, grace)
		})
	}
}

// Checks that an entry host serves callers that use an earlier lookup as long as it is valid,
// and still leaves time for what it takes from them.
func TestAnIntakeEndsWithTheValidityOfLookups(t *testing.T) {
	cases := []struct{ grace, validity, intake time.Duration }{
		{5 * time.Minute, 5 * time.Second, 5 * time.Second},
		{6 * time.Second, 5 * time.Second, 3 * time.Second},
		{0, 5 * time.Second, 0},
	}
	for _, tc := range cases {
		p := newStopPlan(tc.grace, tc.validity)
		require.Equal(t, tc.intake, p.intake, tc.grace)
		require.Equal(t, min(tc.intake, maxGatewayIntake), p.open, "whatever is taken later must be over in time")
	}
}
