package gossiper

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/limiter"
)

const (
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	informedDelay   = 500 * time.Millisecond
)

// limitedFleet is a fleet whose hosts want to send a server far more requests than the
// limit that it names allows.
type limitedFleet struct {
	t     *testing.T
	net   *network
	nodes []*node
	rate  float64
	// frozen holds the hosts that are paused, informedAt when each host first got a
	// response that names the limit.
	frozen     map[*node]bool
	informedAt map[*node]time.Time
	named      bool
	// arrivals are the times of requests from hosts that had been informed before.
	arrivals []time.Time
	ticks    int
	// tick is the time between two requests that a host wants to send.
	tick time.Duration
	// heartbeatTicks is the number of ticks between two heartbeats of a host.
	heartbeatTicks int
}

var limitedServer = verbenastand.ServerProcess{Server: "limited", StartTime: 1, Service: "service", Zone: "zone-0"}

func newLimitedFleet(t *testing.T, size int, rate float64) *limitedFleet {
	net, nodes := newNetwork(size)
	f := &limitedFleet{t: t, net: net, nodes: nodes, rate: rate, frozen: make(map[*node]bool), informedAt: make(map[*node]time.Time), named: true}
	for _, n := range nodes {
		n.config.Neighbours, n.config.LifetimePerHost = 8, 20*time.Millisecond
	}
	introduce(nodes)
	return f
}

// run lets time pass: hosts exchange messages and try to send requests.
func (f *limitedFleet) run(d time.Duration) {
	for range int(d / f.tick) {
		f.net.clock.Advance(f.tick)
		f.ticks++
		for _, n := range f.nodes {
			if n.failed || f.frozen[n] {
				continue
			}
			f.net.passOn([]*node{n})
			if f.ticks%f.heartbeatTicks == 0 {
				for _, target := range n.advanceHeartbeat() {
					n.exchange(context.Background(), target)
				}
			}
			f.send(n)
		}
	}
}

// send tries one request.
func (f *limitedFleet) send(n *node) {
	now := f.net.clock.Now()
	if !n.limiter.Take(limitedServer) {
		return
	}
	if at, ok := f.informedAt[n]; ok && now.Sub(at) >= informedDelay {
		f.arrivals = append(f.arrivals, now)
	}
	if _, ok := f.informedAt[n]; !ok && f.named {
		f.informedAt[n] = now
	}
	n.limiter.Observe(limiter.Response{
		Process: limitedServer, Named: f.named, Text: fmt.Sprint(f.rate), Succeeded: true, SentAt: now,
	})
}

// requireLimit checks the users' bound, without an excuse for disturbed hosts.
func (f *limitedFleet) requireLimit(start time.Time) {
	f.t.Helper()
	first, most := 0, 0
	for i, at := range f.arrivals {
		for at.Sub(f.arrivals[first]) > limitWindow || f.arrivals[first].Sub(start) < limitSettleTime {
			if first == i {
				break
			}
			first++
		}
		if at.Sub(start) >= limitSettleTime {
			most = max(most, i-first+1)
		}
	}
	require.LessOrEqual(f.t, float64(most), 1.5*f.rate*limitWindow.Seconds()+5)
}

// restart replaces a host by one with the same name that knows nothing.
func (f *limitedFleet) restart(i int) {
	fresh := f.net.addInstance(i, 3, 2)
	fresh.config.Neighbours, fresh.config.LifetimePerHost = 8, 20*time.Millisecond
	fresh.membershipUnknownUntil = f.net.clock.Now().Add(2 * time.Second)
	f.nodes[i] = fresh
	fresh.Sync(context.Background())
}

// Guards against hosts that together send a server more requests than the limit that it
// names (issue 23, LIMIT): in fleets of several sizes, while hosts restart, are paused
// and are cut off from each other, also for limits below one request a second.
func TestALimitHoldsInAFleet(t *testing.T) {
	cases := []struct {
		size  int
		rates []float64
		// The largest fleet would take minutes with small steps and a long cut.
		tick           time.Duration
		heartbeatTicks int
		cut, lifted    time.Duration
	}{
		{14, []float64{0, 0.3, 2.6, 30}, 100 * time.Millisecond, 5, 10 * time.Second, longestTrial},
		{56, []float64{0.3, 30}, 200 * time.Millisecond, 3, 10 * time.Second, longestTrial},
		{472, []float64{2.6}, 500 * time.Millisecond, 10, 6 * time.Second, 8 * time.Second},
	}
	for _, tc := range cases {
		for _, rate := range tc.rates {
			size := tc.size
			t.Run(fmt.Sprintf("%d hosts, %g a second", size, rate), func(t *testing.T) {
				f := newLimitedFleet(t, size, rate)
				f.tick, f.heartbeatTicks = tc.tick, tc.heartbeatTicks
				start := f.net.clock.Now()
				f.run(8 * time.Second)
				f.requireLimit(start)
				used := len(f.arrivals)
				if rate >= 1 {
					require.Greater(t, float64(used), rate*5/2, "the limit is used")
				}

				f.restart(0)
				f.restart(size / 2)
				f.run(2 * time.Second)
				for _, n := range f.nodes[1 : 1+size/10] {
					f.frozen[n] = true
				}
				f.run(3 * time.Second)
				for n := range f.frozen {
					n.limiter.Pause(3 * time.Second)
					n.ResetTimeouts()
				}
				clear(f.frozen)
				f.run(2 * time.Second)
				side := make(map[string]bool)
				for _, n := range f.nodes[:size/2] {
					side[n.address] = true
				}
				f.net.drops = func(from, to string) bool { return side[from] != side[to] }
				f.run(tc.cut)
				f.net.drops = func(string, string) bool { return false }
				f.run(3 * time.Second)
				f.nodes[3].Leave(t.Context())
				f.run(3 * time.Second)
				f.requireLimit(start)

				f.named = false
				f.run(tc.lifted)
				unlimited := 0
				for _, n := range f.nodes {
					if _, limited := n.limiter.Share(limitedServer); !limited {
						unlimited++
					}
				}
				require.Equal(t, size, unlimited, "a limit that is no longer named does not hold")
			})
		}
	}
}

// longestTrial is the time in which a server gets a request however low its limit is,
// and what it shows reaches all hosts.
const longestTrial = 35 * time.Second
