package carrier

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// refusalConfig describes servers that refuse requests at random for a while, although they report
// little load.
type refusalConfig struct {
	share       float64
	servers     int
	from, until time.Duration
}

// of returns a function that reports whether a server refuses a request now.
func (c refusalConfig) of(server int, seed uint64) func() bool {
	if server >= c.servers {
		return func() bool { return false }
	}
	began := time.Now()
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(uint64(server), 5+2*seed))
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		at := time.Since(began)
		return at >= c.from && at < c.until && random.Float64() < c.share
	}
}

// refusalCauses counts the refusals of the hosts by their reasons, and by what has prevented a retry.
func (m *model) refusalCauses() (causes map[string]int, sum int) {
	causes = make(map[string]int)
	for _, h := range m.harnesses {
		h.mu.Lock()
		for _, e := range h.events {
			if e.Refused && e.Status == http.StatusServiceUnavailable {
				causes[e.Reason.String()+" "+e.RetryDenied]++
				sum++
			}
		}
		h.mu.Unlock()
	}
	return causes, sum
}

// attempts returns the number of attempts that were sent to servers that refuse, and to the others.
func (m *model) attempts() (refusing, others int) {
	for _, h := range m.harnesses {
		for _, r := range h.requests() {
			var server int
			_, _ = fmt.Sscanf(r.server, "s%d", &server)
			if server < m.config.refusals.servers {
				refusing++
			} else {
				others++
			}
		}
	}
	return refusing, others
}

// TestPatternsOfRefusals guards against hosts that refuse requests although other servers have free slots, while
// servers with 3 slots and a queue of 6 refuse half of their requests at random and report little load.
func TestPatternsOfRefusals(t *testing.T) {
	cases := []struct {
		refusing int
		load     float64
		// bound is the highest number of refusals by hosts per request. If all servers refuse, each host
		// can retry only 0.16 of its requests: the retry budget less its margin.
		bound float64
	}{
		{24, 0.5, 0.4},
		{16, 0.5, 0.15},
		{8, 0.5, 0.013},
		{8, 0.7, 0.02},
		{2, 0.7, 0.004},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%d-of-24-%g", tc.refusing, tc.load), func(t *testing.T) {
			var offered, sum int
			for seed := range max(1, seeds()) {
				synctest.Test(t, func(t *testing.T) {
					m := newModel(t, typicalServers(func(c *modelConfig) {
						c.servers, c.slots, c.queue, c.load, c.seed, c.length = 24, 3, 6, tc.load, uint64(seed), 8*time.Second
						c.refusals = refusalConfig{share: 0.5, servers: tc.refusing, from: 2 * time.Second, until: 7 * time.Second}
					}))
					m.run(t)
					refusing, others := m.attempts()
					causes, refusals := m.refusalCauses()
					t.Logf("%s; refusals by hosts %v; attempts: %d at refusing servers, %d at others", m, causes, refusing, others)
					offered += int(m.offered.Load())
					sum += refusals
				})
			}
			share := float64(sum) / float64(offered)
			t.Logf("%.4f refusals by hosts per request", share)
			assert.LessOrEqual(t, share, tc.bound)
		})
	}
}
