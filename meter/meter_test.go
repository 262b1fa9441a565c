package meter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastand/verbenastand/hedger"
)

// Guards against hedges that operators can't see, or whose cost is counted in another unit.
func TestHedgesAreCounted(t *testing.T) {
	m := NewMeter()
	var observer hedger.Observer = m
	observer.HedgeSent("svc")
	observer.HedgeSent("svc")
	observer.HedgeWon("svc")
	observer.HedgeSettled("svc", 250*time.Millisecond)
	observer.HedgeDenied("svc", hedger.OverLimit)
	families, err := m.Registry().Gather()
	require.NoError(t, err)
	values := make(map[string]float64)
	for _, f := range families {
		for _, metric := range f.GetMetric() {
			name := f.GetName()
			for _, l := range metric.GetLabel() {
				name += " " + l.GetValue()
			}
			values[name] = metric.GetCounter().GetValue()
		}
	}
	for name, want := range map[string]float64{
		"verbenastand_hedges_total sent svc": 2, "verbenastand_hedges_total won svc": 1,
		"verbenastand_hedge_server_seconds_total svc": 0.25, "verbenastand_hedges_denied_total overLimit svc": 1,
	} {
		require.InDelta(t, want, values[name], 1e-9, "%s in %v", name, values)
	}
}
