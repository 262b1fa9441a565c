// Package comparer compares scheduling policies on the same workload in a
// discrete-event simulation. It is for benchmarks only: callers, servers and network
// delays are simulated, and the real scheduler and classifier are one of the
// policies.
package comparer

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// simulation simulates the environment of a scheduler in virtual time: arriving
// jobs, servers with slots and a local queue, and network delays.
type simulation struct {
	now      time.Time
	events   eventHeap
	sequence uint64
	random   *rand.Rand
	servers  []*fakeServer
	load     workload
	jobs     []*job
	ticks    []func(time.Time)
}

// workload describes the jobs that arrive and the servers.
type workload struct {
	servers   int
	zones     int
	mean      time.Duration
	longShare float64
	longMean  time.Duration
	paidShare float64
	// rate returns the arrivals per second at a time since the start.
	rate     func(since time.Duration) float64
	duration time.Duration
	deadline time.Duration
	// callerRetries is how often callers retry a refused request.
	callerRetries int
}

const (
	fakeSlots  = 6
	entryHosts = 14
	zoneDelay  = 1500 * time.Microsecond
	localDelay = 100 * time.Microsecond
	// tickPeriod is the interval at which hosts call Scheduler.Tick.
	tickPeriod = 10 * time.Millisecond
)

type job struct {
	arrived  time.Time
	ended    time.Time
	work     time.Duration
	path     string
	long     bool
	paid     bool
	deadline time.Time
	retries  int
	refused  bool
	failed   bool
	host     int
	server   *fakeServer
	onDone   func(report int, failed bool)
	zone     int
}

type fakeServer struct {
	simulation *simulation
	index      int
	zone       int
	running    int
	waiting    []*job
	slowdown   float64
	failing    bool
	// instance identifies the process of the server.
	instance string
	served   int
	probes   int
}

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newSimulation(seed uint64, load workload) *simulation {
	sim := &simulation{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)), load: load}
	for i := range load.servers {
		sim.servers = append(sim.servers, &fakeServer{simulation: sim, index: i, zone: i % load.zones, slowdown: 1})
	}
	return sim
}

// Now implements verbenastand.Clock.
func (sim *simulation) Now() time.Time { return sim.now }

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.events, event{at: sim.now.Add(d), sequence: sim.sequence, run: run})
}

func (sim *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(sim.random.ExpFloat64() * float64(mean))
}

func networkDelay(a, b int) time.Duration {
	if a == b {
		return localDelay
	}
	return zoneDelay
}

// policy assigns jobs to servers.
type policy interface {
	arrive(j *job)
}

// run simulates the whole workload.
func (sim *simulation) run(p policy) {
	start := sim.now
	var next func()
	next = func() {
		since := sim.now.Sub(start)
		if since >= sim.load.duration {
			return
		}
		sim.arrive(p, sim.newJob())
		sim.schedule(sim.exponential(time.Duration(float64(time.Second)/sim.load.rate(since))), next)
	}
	sim.schedule(0, next)
	var tick func()
	tick = func() {
		for _, f := range sim.ticks {
			f(sim.now)
		}
		if sim.now.Sub(start) < sim.load.duration+2*time.Second {
			sim.schedule(tickPeriod, tick)
		}
	}
	sim.schedule(tickPeriod, tick)
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
}

func (sim *simulation) newJob() *job {
	j := &job{arrived: sim.now, path: "/short", work: sim.exponential(sim.load.mean), host: sim.random.IntN(entryHosts)}
	if sim.random.Float64() < sim.load.longShare {
		j.long, j.path = true, "/long/"
		j.work = sim.exponential(sim.load.longMean)
	}
	j.paid = sim.random.Float64() < sim.load.paidShare
	j.deadline = sim.now.Add(sim.load.deadline)
	return j
}

func (sim *simulation) arrive(p policy, j *job) {
	p.arrive(j)
	sim.jobs = append(sim.jobs, j)
}

// refuse ends a job that was not run. Its caller may retry it.
func (sim *simulation) refuse(p policy, j *job) {
	j.refused = true
	j.ended = sim.now
	if j.retries >= sim.load.callerRetries {
		return
	}
	retry := *j
	retry.retries++
	retry.refused = false
	sim.schedule(50*time.Millisecond, func() {
		retry.arrived = sim.now
		retry.deadline = sim.now.Add(sim.load.deadline)
		sim.arrive(p, &retry)
	})
}

// send sends a job to a server. onDone is called when the response arrives.
func (sim *simulation) send(j *job, s *fakeServer, onDone func(report int, failed bool)) {
	j.server = s
	j.onDone = onDone
	sim.schedule(networkDelay(j.zone, s.zone), func() { s.receive(j) })
}

func (s *fakeServer) receive(j *job) {
	if s.running >= fakeSlots {
		s.waiting = append(s.waiting, j)
		return
	}
	s.start(j)
}

func (s *fakeServer) start(j *job) {
	s.running++
	s.served++
	work := time.Duration(float64(j.work) * s.slowdown)
	if s.failing {
		work = 200 * time.Microsecond
	}
	s.simulation.schedule(work, func() {
		s.running--
		report, failed := s.running+len(s.waiting), s.failing
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.start(next)
		}
		s.simulation.schedule(networkDelay(j.zone, s.zone), func() {
			j.ended = s.simulation.now
			j.failed = failed
			j.onDone(report, failed)
		})
	})
}

// latencies returns the sorted latencies of the successful jobs that match.
func (sim *simulation) latencies(match func(*job) bool) []time.Duration {
	var all []time.Duration
	for _, j := range sim.jobs {
		if !j.refused && !j.failed && match(j) {
			all = append(all, j.ended.Sub(j.arrived))
		}
	}
	slices.Sort(all)
	return all
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// goodput counts the jobs that completed before their deadline.
func (sim *simulation) goodput(match func(*job) bool) int {
	n := 0
	for _, j := range sim.jobs {
		if !j.refused && !j.failed && !j.ended.After(j.deadline) && match(j) {
			n++
		}
	}
	return n
}

func anyJob(*job) bool     { return true }
func shortJob(j *job) bool { return !j.long }
func longJob(j *job) bool  { return j.long }
func paidJob(j *job) bool  { return j.paid }

// config returns the configuration of the server, as a ticket would set it.
func (s *fakeServer) config() verbenastand.Server {
	return verbenastand.NewServer(verbenastand.ServerConfig{
		ID: verbenastand.ServerID("server-" + string(rune('a'+s.index%26)) + string(rune('a'+s.index/26))), Service: "s",
		Zone: verbenastand.Zone("zone-" + string(rune('a'+s.zone))), Address: "127.0.0.1:1", Slots: fakeSlots, Connections: 200,
	})
}
