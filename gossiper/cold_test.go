package gossiper

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/limiter"
)

const (
	warmupRate    = 4.3
	warmupOverage = 1.5
	warmupSlack   = 8
	// checkAge is how old a health check is when the request is sent that it was made for.
	checkAge = 5 * time.Millisecond
	// discoveryPeriod is that of gateway hosts.
	discoveryPeriod = 2 * time.Second
)

// coldFleet is a fleet whose hosts want to send a cold server far more requests than its limit
// allows. A request is sent one tick after it was counted, so that hosts are paused in between.
type coldFleet struct {
	t       *testing.T
	net     *network
	nodes   []*node
	warmups map[*node]*limiter.Warmup
	// counted holds the hosts whose request is sent with the next tick.
	counted map[*node]bool
	frozen  map[*node]bool
	// coldUntil is when the server is warm, and arrivals are the times of the requests that it
	// gets before.
	coldUntil      time.Time
	arrivals       []time.Time
	ticks          int
	tick           time.Duration
	heartbeatTicks int
	// idle is set while hosts have no requests to send.
	idle bool
}

var coldServer = verbenastand.ServerProcess{Server: "cold", StartTime: 1, Service: "service", Zone: "zone-0"}

func newColdFleet(t *testing.T, size int) *coldFleet {
	net, nodes := newNetwork(size)
	f := &coldFleet{
		t: t, net: net, nodes: nodes, warmups: make(map[*node]*limiter.Warmup), counted: make(map[*node]bool), frozen: make(map[*node]bool),
		tick: 50 * time.Millisecond, heartbeatTicks: 10,
	}
	for _, n := range nodes {
		n.config.Neighbours, n.config.LifetimePerHost = 8, 20*time.Millisecond
		f.start(n, 0)
	}
	introduce(nodes)
	return f
}

// start gives a host a limiter that knows the registration of the server.
func (f *coldFleet) start(n *node, warmup time.Duration) {
	l := limiter.NewWarmup(limiter.WarmupConfig{
		Clock: f.net.clock, Self: n.Self().ID(), Overage: warmupOverage, Slack: warmupSlack,
		Hosts: func(verbenastand.ServerProcess) []verbenastand.Host {
			return n.SharingHosts(discoveryPeriod)
		},
	})
	l.Update(verbenastand.NewView(verbenastand.ViewConfig{
		Table: verbenastand.NewRouteTable(verbenastand.RouteTableConfig{
			Version: 1, Services: map[verbenastand.ServiceName]verbenastand.ServiceSettings{coldServer.Service: {WarmupRate: warmupRate}},
		}),
		Servers: map[verbenastand.ServiceName][]verbenastand.Registration{coldServer.Service: {verbenastand.NewRegistration(verbenastand.RegistrationConfig{
			Server: coldServer.Server, StartTime: coldServer.StartTime, Service: coldServer.Service, Zone: coldServer.Zone, Warmup: warmup,
		})}},
	}))
	f.warmups[n] = l
}

// restart replaces a host by one with the same name that has no record of the others.
func (f *coldFleet) restart(i int) {
	fresh := f.net.addInstance(i, 3, 2)
	fresh.config.Neighbours, fresh.config.LifetimePerHost = 8, 20*time.Millisecond
	delete(f.counted, f.nodes[i])
	f.nodes[i] = fresh
	f.start(fresh, 0)
	fresh.Sync(context.Background())
}

// cold lets the server become cold, of which no host knows yet.
func (f *coldFleet) cold(d time.Duration) { f.coldUntil = f.net.clock.Now().Add(d) }

// run lets time pass: hosts exchange messages, make health checks and send requests.
func (f *coldFleet) run(d time.Duration) {
	for range int(d / f.tick) {
		f.net.clock.Advance(f.tick)
		f.ticks++
		for _, n := range f.nodes {
			if n.failed || f.frozen[n] {
				continue
			}
			if f.ticks%f.heartbeatTicks == 0 {
				for _, target := range n.advanceHeartbeat() {
					n.exchange(context.Background(), target)
				}
			}
			if f.counted[n] {
				f.arrive()
				delete(f.counted, n)
			}
			if !f.idle {
				f.send(n)
			}
		}
	}
}

func (f *coldFleet) arrive() {
	if now := f.net.clock.Now(); now.Before(f.coldUntil) {
		f.arrivals = append(f.arrivals, now)
	}
}

// send counts one request, after a health check if the host needs one.
func (f *coldFleet) send(n *node) {
	l := f.warmups[n]
	if !l.Available(coldServer) {
		return
	}
	if now := f.net.clock.Now(); !l.Current(coldServer) {
		remaining := max(0, f.coldUntil.Sub(now).Milliseconds())
		l.Observe(limiter.HealthResponse{
			Process: coldServer, Remaining: []string{strconv.FormatInt(remaining, 10)}, SentAt: now.Add(-checkAge),
		})
	}
	if !l.Take(coldServer) {
		return
	}
	if l.Remaining(coldServer) == 0 {
		// A warm server takes what it gets.
		return
	}
	f.counted[n] = true
}

// most returns the largest number of requests in a second.
func (f *coldFleet) most() (most int) {
	first := 0
	for i, at := range f.arrivals {
		for at.Sub(f.arrivals[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// requireBound checks the hard bound, without an excuse for disturbed hosts.
func (f *coldFleet) requireBound() {
	f.t.Helper()
	require.LessOrEqual(f.t, float64(f.most()), warmupOverage*warmupRate+warmupSlack)
}

// disturb restarts hosts, pauses them between counting a request and sending it, cuts them off
// from each other, restarts some that are cut off, and shuts some down.
func (f *coldFleet) disturb(cut func(i int) bool) {
	size := len(f.nodes)
	f.cold(time.Hour)
	f.run(time.Second)
	for i := 0; i < size; i += 5 {
		f.restart(i)
	}
	f.run(3 * time.Second)
	for _, n := range f.nodes[:size/2] {
		f.frozen[n] = true
	}
	f.run(2 * time.Second)
	for n := range f.frozen {
		n.ResetTimeouts()
	}
	clear(f.frozen)
	f.run(2 * time.Second)
	side := make(map[string]bool)
	for i, n := range f.nodes {
		side[n.address] = cut(i)
	}
	f.net.drops = func(from, to string) bool { return side[from] != side[to] }
	f.run(2 * time.Second)
	for i := range size {
		if i%9 >= 5 {
			f.restart(i)
		}
	}
	f.run(5 * time.Second)
	f.net.drops = func(string, string) bool { return false }
	f.run(2 * time.Second)
	for _, n := range f.nodes[3:9] {
		n.Leave(f.t.Context())
	}
	f.run(2 * time.Second)
}

// Guards against hosts that together send a cold server more requests than it tolerates, or
// leave its limit unused (page on heavy load, part 2), also while they are disturbed: by cuts through
// the fleet, around the availability zone of the server, and between the seed hosts.
func TestALimitOfAColdServerHoldsInAFleet(t *testing.T) {
	cuts := []struct {
		name string
		cut  func(i, size int) bool
	}{
		{"halves", func(i, size int) bool { return i < size/2 }},
		{"zone", func(i, _ int) bool { return i%4 == 0 }},
		{"seeds", func(i, _ int) bool { return i%3 == 0 }},
	}
	for _, size := range []int{38, 123, 472} {
		for _, tc := range cuts {
			if size > 100 && tc.name != "zone" {
				// At 472 hosts, each takes half a minute.
				continue
			}
			t.Run(fmt.Sprintf("%d hosts, %s", size, tc.name), func(t *testing.T) {
				t.Parallel()
				f := newColdFleet(t, size)
				if size > 200 {
					f.tick, f.heartbeatTicks = 100*time.Millisecond, 20
				}
				f.run(discoveryPeriod)
				f.cold(3 * time.Second)
				f.run(3 * time.Second)
				short := float64(len(f.arrivals)) / 3 / warmupRate
				f.idle = true
				f.run(11 * time.Second)
				f.idle, f.arrivals = false, nil
				f.cold(10 * time.Second)
				f.run(10 * time.Second)
				long := float64(len(f.arrivals)) / 10 / warmupRate
				undisturbed := f.most()
				f.requireBound()
				require.GreaterOrEqual(t, short, 0.85)
				require.GreaterOrEqual(t, long, 0.85)
				require.LessOrEqual(t, long, 1.0)
				f.arrivals = nil
				f.disturb(func(i int) bool { return tc.cut(i, size) })
				t.Logf("%.2f of the limit used in 3 s, %.2f in 10 s; most in a second %d, disturbed %d, bound %.2f",
					short, long, undisturbed, f.most(), warmupOverage*warmupRate+warmupSlack)
				f.requireBound()
			})
		}
	}
}

// Guards against a host that takes a share although its process has started where it can't
// reach the others, or has just learned of some of them.
func TestAHostThatDoesNotKnowTheOthersHasNoShare(t *testing.T) {
	net, nodes := newNetwork(9)
	introduce(nodes)
	require.Empty(t, nodes[8].SharingHosts(discoveryPeriod))
	net.clock.Advance(discoveryPeriod)
	require.Len(t, nodes[8].SharingHosts(discoveryPeriod), 9)
	net.drops = func(from, to string) bool { return from == nodes[8].address || to == nodes[8].address }
	fresh := net.addInstance(8, 3, 2)
	fresh.Sync(t.Context())
	net.clock.Advance(discoveryPeriod)
	require.Empty(t, fresh.SharingHosts(discoveryPeriod))
	net.drops = func(string, string) bool { return false }
	fresh.Sync(t.Context())
	require.Empty(t, fresh.SharingHosts(discoveryPeriod))
	net.clock.Advance(discoveryPeriod)
	require.Len(t, fresh.SharingHosts(discoveryPeriod), 9)
	nodes[0].Leave(t.Context())
	require.Len(t, nodes[0].SharingHosts(discoveryPeriod), 8)
}
