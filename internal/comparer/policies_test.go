package comparer

import (
	"fmt"
	"math"
	"net/http"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/classifier"
	"github.com/verbenastand/verbenastand/estimator"
	"github.com/verbenastand/verbenastand/placer"
	"github.com/verbenastand/verbenastand/scheduler"
)

// schedulerPolicy is the policy under test. Callers distribute their requests over
// the home hosts, each of which has a real scheduler and classifier.
type schedulerPolicy struct {
	simulation *simulation
	homes      []*homeHost
	slots      int
	byID       map[verbenastand.ServerID]*fakeServer
}

type homeHost struct {
	policy     *schedulerPolicy
	zone       int
	slots      int
	scheduler  *scheduler.Scheduler
	classifier *classifier.Classifier
	granted    []*waitingJob
}

type waitingJob struct {
	scheduler.Waiter
	job   *job
	class classifier.Class
}

func newSchedulerPolicy(sim *simulation, homes int, rules ...verbenastand.Rule) *schedulerPolicy {
	service := verbenastand.NewService(verbenastand.ServiceConfig{Name: "s", Timeout: time.Second, Homes: homes, Rules: rules})
	p := &schedulerPolicy{simulation: sim, byID: make(map[verbenastand.ServerID]*fakeServer)}
	var servers []verbenastand.Server
	for _, s := range sim.servers {
		servers = append(servers, s.config())
		p.byID[s.config().ID()] = s
	}
	var hosts []verbenastand.Host
	for rank := range homes {
		hosts = append(hosts, verbenastand.NewHost(verbenastand.HostConfig{
			Instance: verbenastand.NewInstance(verbenastand.HostID(fmt.Sprint("host-", rank)), 1),
			Zone:     sim.servers[rank%sim.load.zones].config().Zone(),
		}))
	}
	for rank := range homes {
		h := &homeHost{policy: p, zone: rank % sim.load.zones, classifier: classifier.NewClassifier(service)}
		h.scheduler = scheduler.NewScheduler(scheduler.Config{
			Clock: sim, Self: hosts[rank], ZoneRTT: 2 * zoneDelay, Expected: h.classifier.MeanShort, LongWork: h.classifier.LongWork,
		})
		h.scheduler.Update(service, servers, hosts)
		h.slots = placer.Slots(servers, hosts, hosts[rank].ID())
		p.slots += h.slots
		p.homes = append(p.homes, h)
		sim.ticks = append(sim.ticks, func(now time.Time) {
			h.scheduler.Tick(now)
			h.sendGranted()
		})
	}
	return p
}

// arrive sends the job to a home chosen in proportion to its share of the slots.
// Host lookup responses are ordered in the same way.
func (p *schedulerPolicy) arrive(j *job) {
	remaining := p.simulation.random.IntN(p.slots)
	for _, h := range p.homes {
		if remaining -= h.slots; remaining < 0 {
			h.arrive(j)
			return
		}
	}
}

func (h *homeHost) arrive(j *job) {
	j.zone = h.zone
	class := h.classifier.Classify(http.MethodGet, j.path, j.paid)
	w := &waitingJob{job: j, class: class}
	w.Priority, w.Size, w.Expected, w.Deadline = class.Priority(), class.Size(), class.Expected(), j.deadline
	w.Notify = func() { h.granted = append(h.granted, w) }
	if h.scheduler.Submit(&w.Waiter) {
		h.granted = append(h.granted, w)
	}
	h.sendGranted()
}

// sendGranted sends the jobs that were granted a slot and refuses the others.
func (h *homeHost) sendGranted() {
	for len(h.granted) > 0 {
		w := h.granted[0]
		h.granted = h.granted[1:]
		grant, err := w.Grant()
		if err != nil {
			h.policy.simulation.refuse(h.policy, w.job)
			continue
		}
		h.policy.simulation.send(w.job, h.policy.byID[grant.Server().ID()], func(report int, failed bool) {
			result := estimator.Succeeded
			if failed {
				result = estimator.Failed
			} else {
				h.classifier.Observe(w.class, h.policy.simulation.now.Sub(grant.GrantedAt()))
			}
			h.scheduler.Release(grant, result, scheduler.Report{InFlight: report, Instance: h.policy.byID[grant.Server().ID()].instance})
			h.sendGranted()
		})
	}
}

// centralQueue is a single queue for all slots, without delays, that knows the
// duration of each job in advance. It serves first come, first served, and refuses
// jobs that cannot complete before their deadline.
type centralQueue struct {
	simulation *simulation
	busy       int
	queue      []*job
}

func (q *centralQueue) arrive(j *job) {
	q.queue = append(q.queue, j)
	q.serve()
}

func (q *centralQueue) serve() {
	sim := q.simulation
	for q.busy < fakeSlots*len(sim.servers) && len(q.queue) > 0 {
		j := q.queue[0]
		q.queue = q.queue[1:]
		if sim.now.Add(j.work).After(j.deadline) {
			sim.refuse(q, j)
			continue
		}
		q.busy++
		sim.schedule(j.work, func() {
			q.busy--
			j.ended = sim.now
			q.serve()
		})
	}
}

// baseline is a load balancer on each of the entry hosts that sends every job
// immediately to the server it chooses.
type baseline struct {
	simulation *simulation
	choose     func(b *baseline, j *job) *fakeServer
	nextIndex  [entryHosts]int
	// inFlight and reported are the requests of each host at each server, and the
	// load that the server last reported to that host.
	inFlight [entryHosts][]int
	reported [entryHosts][]int
	pools    [entryHosts][]probeResult
}

// probeResult is the response to a probe, as in Prequal (Wydrowski et al., "Load is
// not what you should balance", NSDI 2024).
type probeResult struct {
	server   *fakeServer
	inFlight int
	at       time.Time
	uses     int
}

func newBaseline(sim *simulation, choose func(*baseline, *job) *fakeServer) *baseline {
	b := &baseline{simulation: sim, choose: choose}
	for h := range entryHosts {
		b.nextIndex[h] = sim.random.IntN(len(sim.servers))
		b.inFlight[h] = make([]int, len(sim.servers))
		b.reported[h] = make([]int, len(sim.servers))
	}
	return b
}

func (b *baseline) arrive(j *job) {
	j.zone = j.host % b.simulation.load.zones
	s := b.choose(b, j)
	b.inFlight[j.host][s.index]++
	b.simulation.send(j, s, func(report int, _ bool) {
		b.inFlight[j.host][s.index]--
		b.reported[j.host][s.index] = report
	})
}

func roundRobin(b *baseline, j *job) *fakeServer {
	b.nextIndex[j.host]++
	return b.simulation.servers[b.nextIndex[j.host]%len(b.simulation.servers)]
}

func randomServer(b *baseline, _ *job) *fakeServer {
	return b.simulation.servers[b.simulation.random.IntN(len(b.simulation.servers))]
}

func leastReported(b *baseline, j *job) *fakeServer {
	best, bestLoad := 0, math.MaxInt
	start := b.simulation.random.IntN(len(b.simulation.servers))
	for i := range b.simulation.servers {
		s := (start + i) % len(b.simulation.servers)
		if load := b.reported[j.host][s]; load < bestLoad {
			best, bestLoad = s, load
		}
	}
	return b.simulation.servers[best]
}

func twoChoices(b *baseline, j *job) *fakeServer {
	x, y := randomServer(b, j), randomServer(b, j)
	known := b.inFlight[j.host]
	if known[y.index] < known[x.index] {
		return y
	}
	return x
}

const (
	probesPerJob = 2
	poolSize     = 16
	poolLifetime = 100 * time.Millisecond
)

// probePool chooses the probed server with the fewest requests and starts new
// probes with each job. Probes are assumed to cost the server nothing, which
// favours this baseline.
func probePool(b *baseline, j *job) *fakeServer {
	sim := b.simulation
	for range probesPerJob {
		target := randomServer(b, j)
		target.probes++
		sim.schedule(networkDelay(j.zone, target.zone), func() {
			result := probeResult{server: target, inFlight: target.running + len(target.waiting)}
			sim.schedule(networkDelay(j.zone, target.zone), func() {
				result.at = sim.now
				pool := append(b.pools[j.host], result)
				b.pools[j.host] = pool[max(0, len(pool)-poolSize):]
			})
		})
	}
	pool := b.pools[j.host][:0]
	for _, r := range b.pools[j.host] {
		if sim.now.Sub(r.at) < poolLifetime && r.uses < 2 {
			pool = append(pool, r)
		}
	}
	b.pools[j.host] = pool
	if len(pool) < 2 {
		return randomServer(b, j)
	}
	best := 0
	for i := range pool {
		if pool[i].inFlight < pool[best].inFlight {
			best = i
		}
	}
	pool[best].uses++
	pool[best].inFlight++
	return pool[best].server
}
