package carrier

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// seeds returns the number of seeds from the environment variable LOAD_SEEDS, 0 if unset.
func seeds() int {
	n, err := strconv.Atoi(os.Getenv("LOAD_SEEDS"))
	if err != nil {
		return 0
	}
	return n
}

// requiredShare is the share of an ideal queue, which knows the state of all servers, that hosts
// have to reach at any load.
const requiredShare = 0.9

// TestLoadLevels reports what callers get from too little load to twice the capacity. With
// LOAD_SEEDS it plays more seeds, for longer, and callers that return more often.
func TestLoadLevels(t *testing.T) {
	returns, length := []int{1}, 2*time.Second
	if seeds() > 0 {
		returns, length = []int{0, 1, 3}, 6*time.Second
	}
	for _, retries := range returns {
		for _, load := range []float64{0.7, 1, 1.3, 2} {
			t.Run(fmt.Sprintf("%g-%d", load, retries), func(t *testing.T) {
				var offered, inTime, late, refused, refusals int64
				var held time.Duration
				checks := 0.0
				for seed := range max(1, seeds()) {
					synctest.Test(t, func(t *testing.T) {
						m := newModel(t, typicalServers(func(c *modelConfig) {
							c.load, c.retries, c.seed, c.length = load, retries, uint64(seed), length
						}))
						m.run(t)
						offered += m.offered.Load()
						inTime += m.inTime.Load()
						late += m.late.Load()
						refused += m.refused.Load()
						refusals += m.refusals.Load()
						checks += m.checksPerSecond() / float64(max(1, seeds()))
						held += time.Duration(m.heldNanos.Load())
					})
				}
				// Servers that are always busy serve at least a required share of what they can, in time
				// or late, and most requests while the load is below that.
				served := float64(inTime+late) / float64(offered)
				assert.GreaterOrEqual(t, served, requiredShare*min(1, 1/load))
				share := func(n int64) float64 { return float64(n) / float64(offered) }
				t.Logf("load %g, %d retries: in time %.3f, late %.3f, refused %.3f; %.2f refusals a request, after %v on average; %.0f checks per server and second",
					load, retries, share(inTime), share(late), share(refused), share(refusals), (held / time.Duration(max(1, refusals))).Round(time.Millisecond), checks)
			})
		}
	}
}
