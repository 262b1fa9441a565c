package carrier

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// tally counts the requests of one priority.
type tally struct{ offered, inTime, served atomic.Int64 }

func (c *tally) share(n *atomic.Int64) float64 {
	return float64(n.Load()) / float64(max(1, c.offered.Load()))
}

func (c *tally) String() string {
	return fmt.Sprintf("%d offered, %.3f in time, %.3f served", c.offered.Load(), c.share(&c.inTime), c.share(&c.served))
}

// send sends a request once and counts how it was served.
func (c *tally) send(h *harness, path, id string, target time.Duration) {
	c.offered.Add(1)
	began := time.Now()
	conn := h.connect()
	_, _ = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: a.example\r\nX-Id: "+id+"\r\nX-Deadline: 1500\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	_ = conn.Close()
	if err != nil || response.StatusCode != http.StatusOK {
		return
	}
	c.served.Add(1)
	if time.Since(began) <= target {
		c.inTime.Add(1)
	}
}

// TestUrgentRequestsAreServedAtLeastAsWell: pattern: short urgent reads and long bulk
// uploads share a service. Urgent requests must not be served worse than less urgent
// ones, neither in time nor at all, while demand exceeds the capacity or half of the
// servers are lost.
func TestUrgentRequestsAreServedAtLeastAsWell(t *testing.T) {
	cases := []struct {
		name string
		load float64
		lost int
	}{
		{"typical load", 0.6, 0},
		{"load peak", 1.4, 0},
		{"half of the servers are lost", 0.7, 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const hosts, urgentTarget, bulkTarget = 4, 120 * time.Millisecond, 400 * time.Millisecond
				c := typicalServers(func(c *modelConfig) {
					c.hosts, c.servers, c.slots, c.queue, c.work = hosts, 6, 4, 8, 31*time.Millisecond
					c.bulkShare, c.bulkWork, c.load, c.length = 0.3, 94*time.Millisecond, tc.load, 8*time.Second
				})
				m := newModel(t, c)
				for _, h := range m.harnesses {
					h.addRoute(verbenastand.RouteConfig{
						Name: "urgent", PathPrefix: urgentPrefix, RetrySafety: verbenastand.Idempotent, Timeout: 600 * time.Millisecond,
						Target: urgentTarget, MaxAttempts: 2,
					})
					h.addRoute(verbenastand.RouteConfig{
						Name: "bulk", PathPrefix: bulkPrefix, RetrySafety: verbenastand.AtMostOnce, Timeout: 1500 * time.Millisecond,
						Target: bulkTarget, MaxAttempts: 2, PriorityLevel: 1,
					})
				}
				var urgent, bulk tally
				m.runMix(t, tc.lost, func(h *harness, isBulk bool, id string) {
					if isBulk {
						bulk.send(h, bulkPrefix+id, id, bulkTarget)
						return
					}
					urgent.send(h, urgentPrefix+id, id, urgentTarget)
				})
				t.Logf("urgent: %s; bulk: %s", &urgent, &bulk)
				require.GreaterOrEqual(t, urgent.share(&urgent.inTime)+servedMargin, bulk.share(&bulk.inTime))
				require.GreaterOrEqual(t, urgent.share(&urgent.served)+servedMargin, bulk.share(&bulk.served))
			})
		})
	}
}

// urgentPrefix is the path prefix of urgent requests.
const urgentPrefix = "/urgent/"

// servedMargin is the difference in share that the users tolerate between requests of
// one service.
const servedMargin = 0.05

// runMix sends urgent and bulk requests while lost servers are unreachable from half
// of the time on.
func (m *model) runMix(t *testing.T, lost int, send func(h *harness, bulk bool, id string)) {
	ctx, cancel := context.WithCancel(t.Context())
	for _, s := range m.servers {
		go s.simulateNoise(ctx)
	}
	random := rand.New(rand.NewPCG(11, 7))
	mean := (1-m.config.bulkShare)*m.config.work.Seconds() + m.config.bulkShare*m.config.bulkWork.Seconds()
	rate := m.config.load * m.config.capacity() * m.config.work.Seconds() / mean
	started := time.Now()
	for i := 0; time.Since(started) < m.config.length; i++ {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if lost > 0 && time.Since(started) > m.config.length/2 {
			m.loseServers(lost)
			lost = 0
		}
		h, bulk := m.harnesses[random.IntN(m.config.hosts)], random.Float64() < m.config.bulkShare
		m.callers.Go(func() { send(h, bulk, fmt.Sprintf("%d", i)) })
	}
	m.finish(cancel)
}

// loseServers makes the first servers refuse connections.
func (m *model) loseServers(n int) {
	for _, h := range m.harnesses {
		for i := range n {
			h.servers[fmt.Sprintf("10.0.0.%d:80", i)].lost.Store(true)
		}
		h.carrier.config.Sender.CloseIdle()
	}
}
