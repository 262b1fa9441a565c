package carrier

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// record is what happened to one request.
type record struct {
	host           *harness
	id             string
	level          int
	arrived, ended time.Time
	// startBy is the latest time at which a server could still begin it.
	startBy time.Time
	served  bool
	took    time.Duration
	// free is the number of slots that were free when the request was refused, and waiting
	// the number of requests that waited at its host then.
	free, waiting int
	// refusal describes the response that refused the request.
	refusal string
}

// discoveryTime is the time that a host may need to check each of the servers of the model.
const discoveryTime = 120 * time.Millisecond

// freeSlots returns the number of slots at servers that would have run a request at their usual
// speed for discoveryTime.
func (m *model) freeSlots() (n int) {
	for i, s := range m.servers {
		if m.harnesses[0].servers[fmt.Sprintf("10.0.0.%d:80", i)].lost.Load() {
			continue
		}
		s.mu.Lock()
		s.noteLocked()
		if !s.freeSince.IsZero() && time.Since(s.freeSince) >= discoveryTime {
			n += s.freeLocked()
		}
		s.mu.Unlock()
	}
	return n
}

// freeLocked returns the number of slots at which a request runs at its usual speed.
func (m *modelServer) freeLocked() int {
	if m.slowdown > 1 || m.factor > 1 {
		return 0
	}
	return max(0, int(m.config.saturationPoint*float64(m.config.slots))-m.running)
}

// noteLocked records since when such slots are free.
func (m *modelServer) noteLocked() {
	switch {
	case m.freeLocked() == 0:
		m.freeSince = time.Time{}
	case m.freeSince.IsZero():
		m.freeSince = time.Now()
	}
}

// send sends a request once and records what happens to it.
func (m *model) send(h *harness, level int, prefix, id string) record {
	const left = 1500 * time.Millisecond
	r := record{host: h, id: id, level: level, arrived: time.Now(), startBy: time.Now().Add(min(levelTimeouts[level], left) - m.config.work)}
	conn := h.connect()
	_, _ = fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\nX-Deadline: %d\r\n\r\n", prefix, id, id, left.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	_ = conn.Close()
	r.ended = time.Now()
	r.served = err == nil && response.StatusCode == http.StatusOK
	if !r.served {
		r.free, r.waiting = m.freeSlots(), h.balancer.Service("svc").Waiting()
		if err == nil {
			r.refusal = response.Status + " " + response.Header.Get(verbenastand.HeaderReason)
		}
	}
	r.took = r.ended.Sub(r.arrived)
	return r
}

// levelTimeouts and levelTargets are the time limits and target latencies of urgent requests
// and of less urgent ones.
var (
	levelTimeouts = []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond}
	levelTargets  = []time.Duration{120 * time.Millisecond, 400 * time.Millisecond}
)

// TestUrgentRequestsGoFirst: pattern: short urgent reads and long bulk uploads share a service,
// while demand exceeds the capacity or half of the servers are lost. While an urgent request
// waits, no later one that is less urgent is sent by its host, and none is refused for whom
// there is a free slot that no other request at the host waits for.
func TestUrgentRequestsGoFirst(t *testing.T) {
	cases := []struct {
		name  string
		hosts int
		load  float64
		lost  int
	}{
		{"typical load", 4, 0.6, 0},
		{"load peak", 4, 1.4, 0},
		{"load peak at one host", 1, 1.4, 0},
		{"twice the capacity", 4, 2, 0},
		{"half of the servers are lost", 4, 0.7, 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range max(2, seeds()) {
				synctest.Test(t, func(t *testing.T) {
					m := newModel(t, typicalServers(func(c *modelConfig) {
						c.hosts, c.servers, c.slots, c.queue, c.work = tc.hosts, 6, 4, 8, 31*time.Millisecond
						c.bulkShare, c.bulkWork, c.load, c.length, c.seed = 0.3, 94*time.Millisecond, tc.load, 2*time.Second, uint64(seed)
					}))
					for _, h := range m.harnesses {
						h.addRoute(verbenastand.RouteConfig{
							Name: "urgent", PathPrefix: urgentPrefix, RetrySafety: verbenastand.Idempotent, Timeout: levelTimeouts[0],
							Target: levelTargets[0], MaxAttempts: 2,
						})
						h.addRoute(verbenastand.RouteConfig{
							Name: "bulk", PathPrefix: bulkPrefix, RetrySafety: verbenastand.AtMostOnce, Timeout: levelTimeouts[1],
							Target: levelTargets[1], MaxAttempts: 2, PriorityLevel: 1,
						})
					}
					var mu sync.Mutex
					var records []record
					m.runMix(t, tc.lost, func(h *harness, bulk bool, id string) {
						level, prefix := 0, urgentPrefix
						if bulk {
							level, prefix = 1, bulkPrefix
						}
						r := m.send(h, level, prefix, id)
						mu.Lock()
						defer mu.Unlock()
						records = append(records, r)
					})
					report(t, records)
					requireOrder(t, records)
					requireNoFreeSlots(t, records)
				})
			}
		})
	}
}

// report logs the shares of the requests of each level that were served.
func report(t *testing.T, records []record) {
	for level, target := range levelTargets {
		offered, served, inTime := 0, 0, 0
		for _, r := range records {
			if r.level != level {
				continue
			}
			offered++
			if r.served {
				served++
			}
			if r.served && r.took <= target {
				inTime++
			}
		}
		t.Logf("level %d: %d offered, %.3f in time, %.3f served", level, offered, float64(inTime)/float64(offered), float64(served)/float64(offered))
	}
}

// choiceTime is the time that a host may need to choose a server: a request that has not
// waited for longer may be overtaken.
const choiceTime = 20 * time.Millisecond

// requireOrder fails the test if a host has sent a less urgent request while an urgent one that
// had arrived before waited.
func requireOrder(t *testing.T, records []record) {
	started := make(map[string]time.Time)
	for _, h := range hostsOf(records) {
		for _, r := range h.requests() {
			id := r.Header.Get("X-Id")
			if at, ok := started[id]; !ok || r.at.Before(at) {
				started[id] = r.at
			}
		}
	}
	for _, bulk := range records {
		sent, ok := started[bulk.id]
		if bulk.level == 0 || !ok {
			continue
		}
		for _, urgent := range records {
			if urgent.level > 0 || urgent.host != bulk.host || !urgent.arrived.Add(choiceTime).Before(bulk.arrived) {
				continue
			}
			urgentSent, ok := started[urgent.id]
			waits := sent.Before(urgent.ended) && (!ok || sent.Before(urgentSent)) && sent.Before(urgent.startBy)
			require.False(t, waits, "%s, sent at %v, has overtaken %s, which arrived %v before it", bulk.id, sent, urgent.id, bulk.arrived.Sub(urgent.arrived))
		}
	}
}

func hostsOf(records []record) (hosts []*harness) {
	seen := make(map[*harness]bool)
	for _, r := range records {
		if !seen[r.host] {
			seen[r.host] = true
			hosts = append(hosts, r.host)
		}
	}
	return hosts
}

// requireNoFreeSlots fails the test if a request was refused while there was a free slot that it
// could have used in time, and that none of the requests that waited at its host needed.
func requireNoFreeSlots(t *testing.T, records []record) {
	for _, r := range records {
		if !r.served && r.ended.Before(r.startBy) {
			require.LessOrEqual(t, r.free, r.waiting, "%s of level %d was refused after %v: %s", r.id, r.level, r.took, r.refusal)
		}
	}
}

// runMix sends urgent and bulk requests while lost servers are unreachable from half
// of the time on.
func (m *model) runMix(t *testing.T, lost int, send func(h *harness, bulk bool, id string)) {
	ctx, cancel := context.WithCancel(t.Context())
	for _, s := range m.servers {
		go s.simulateNoise(ctx)
	}
	random := rand.New(rand.NewPCG(11, 7+m.config.seed))
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
