package comparer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/estimator"
	"github.com/verbenastand/verbenastand/scheduler"
)

const (
	benchSeed  = 20261204
	benchSeeds = 4
	warmup     = 500 * time.Millisecond
)

// namedWorkload is the workload of one service.
type namedWorkload struct {
	name string
	load workload
}

var namedWorkloads = []namedWorkload{
	{"catalogue", workload{servers: 12, zones: 4, mean: 8 * time.Millisecond}},
	{"patterns", workload{servers: 8, zones: 4, mean: 8 * time.Millisecond, longShare: 0.02, longMean: 120 * time.Millisecond}},
	{"roadreel", workload{servers: 6, zones: 3, mean: 10 * time.Millisecond, longShare: 0.3, longMean: 150 * time.Millisecond}},
	{"defectview", workload{servers: 11, zones: 3, mean: 8 * time.Millisecond, longShare: 0.02, longMean: 120 * time.Millisecond}},
	{"bookings", workload{servers: 8, zones: 4, mean: 10 * time.Millisecond, paidShare: 0.6}},
	{"ledger", workload{servers: 8, zones: 4, mean: 8 * time.Millisecond}},
	{"runledger", workload{servers: 7, zones: 3, mean: 10 * time.Millisecond, paidShare: 0.6}},
	{"condarchive", workload{servers: 8, zones: 3, mean: 8 * time.Millisecond}},
}

// atUtilization returns the workload with the arrival rate for a utilization of the
// slots.
func (l workload) atUtilization(utilization float64, duration, deadline time.Duration) workload {
	perJob := (1-l.longShare)*l.mean.Seconds() + l.longShare*l.longMean.Seconds()
	rate := utilization * float64(l.servers*fakeSlots) / perJob
	l.rate = func(time.Duration) float64 { return rate }
	l.duration, l.deadline = duration, deadline
	return l
}

type candidate struct {
	name  string
	build func(*simulation) policy
}

func baselinePolicy(choose func(*baseline, *job) *fakeServer) func(*simulation) policy {
	return func(sim *simulation) policy { return newBaseline(sim, choose) }
}

var candidates = []candidate{
	{"roundRobin", baselinePolicy(roundRobin)},
	{"random", baselinePolicy(randomServer)},
	{"leastReported", baselinePolicy(leastReported)},
	{"twoChoices", baselinePolicy(twoChoices)},
	{"probePool", baselinePolicy(probePool)},
	{"ours1Home", func(sim *simulation) policy { return newSchedulerPolicy(sim, 1, longRule()) }},
	{"ours2Homes", func(sim *simulation) policy { return newSchedulerPolicy(sim, 2, longRule()) }},
	{"ours", defaultPolicy},
	{"ours4Homes", func(sim *simulation) policy { return newSchedulerPolicy(sim, 4, longRule()) }},
	{"oursLearnt", func(sim *simulation) policy { return newSchedulerPolicy(sim, defaultHomes) }},
}

// defaultHomes is the number of home hosts of a service whose ticket does not set
// it.
const defaultHomes = 3

func defaultPolicy(sim *simulation) policy { return newSchedulerPolicy(sim, defaultHomes, longRule()) }

func idealQueue(sim *simulation) policy { return &centralQueue{simulation: sim} }

func longRule() verbenastand.Rule {
	long := verbenastand.Long
	return verbenastand.NewRule(verbenastand.RuleConfig{PathPrefix: "/long/", Priority: verbenastand.PriorityNormal, Size: &long})
}

func simulate(load workload, build func(*simulation) policy) *simulation {
	sim := newSimulation(benchSeed, load)
	sim.run(build(sim))
	return sim
}

// latenciesOverSeeds returns the sorted latencies of the matching jobs over several
// seeds.
func latenciesOverSeeds(load workload, build func(*simulation) policy, match func(*job) bool) []time.Duration {
	var all []time.Duration
	for seed := range uint64(benchSeeds) {
		sim := newSimulation(benchSeed+seed, load)
		sim.run(build(sim))
		all = append(all, sim.latencies(afterWarmup(sim, match))...)
	}
	slices.Sort(all)
	return all
}

func afterWarmup(sim *simulation, match func(*job) bool) func(*job) bool {
	start := sim.jobs[0].arrived.Add(warmup)
	return func(j *job) bool { return match(j) && j.arrived.After(start) }
}

// BenchmarkTail compares latencies with the ideal queue on the same workload.
func BenchmarkTail(b *testing.B) {
	for _, w := range namedWorkloads {
		for _, utilization := range []float64{0.5, 0.7, 0.85, 0.95} {
			load := w.load.atUtilization(utilization, 10*time.Second, 2*time.Second)
			limit := latenciesOverSeeds(load, idealQueue, shortJob)
			for _, c := range candidates {
				b.Run(fmt.Sprintf("%s/%d/%s", w.name, int(utilization*100), c.name), func(b *testing.B) {
					for range b.N {
						all := latenciesOverSeeds(load, c.build, shortJob)
						longs := latenciesOverSeeds(load, c.build, longJob)
						b.ReportMetric(0, "ns/op")
						b.ReportMetric(quantile(longs, 0.99).Seconds()*1000, "long-p99-ms")
						b.ReportMetric(quantile(all, 0.5).Seconds()*1000, "p50-ms")
						b.ReportMetric(quantile(all, 0.99).Seconds()*1000, "p99-ms")
						b.ReportMetric(float64(quantile(all, 0.99))/float64(quantile(limit, 0.99)), "p99/ideal")
						b.ReportMetric(float64(quantile(all, 0.999))/float64(quantile(limit, 0.999)), "p999/ideal")
					}
				})
			}
		}
	}
}

// arrivedBetween restricts a filter to the jobs that arrived in a time range since
// the start.
func arrivedBetween(sim *simulation, from, to time.Duration, match func(*job) bool) func(*job) bool {
	start := sim.jobs[0].arrived
	return func(j *job) bool {
		since := j.arrived.Sub(start)
		return since >= from && since < to && match(j)
	}
}

// completedBetween counts the jobs that completed in a time range and before their
// deadline.
func completedBetween(sim *simulation, from, to time.Duration) int {
	start := sim.jobs[0].arrived
	return sim.goodput(func(j *job) bool {
		since := j.ended.Sub(start)
		return since >= from && since < to
	})
}

// fluidLimit returns how many jobs can complete in a time range if no slot is ever
// idle. This is the upper bound for policies that do not know the duration of a job
// in advance. The ideal queue does know it and refuses jobs that would miss their
// deadline, so it prefers short jobs; that value is reported as clairvoyant.
func (l workload) fluidLimit(span time.Duration) float64 {
	perJob := (1-l.longShare)*l.mean.Seconds() + l.longShare*l.longMean.Seconds()
	return float64(l.servers*fakeSlots) * span.Seconds() / perJob
}

// BenchmarkCrest raises the demand to three times the capacity for two seconds.
func BenchmarkCrest(b *testing.B) {
	const begin, end, deadline = 2 * time.Second, 4 * time.Second, 250 * time.Millisecond
	for _, w := range namedWorkloads {
		for _, retries := range []int{0, 3} {
			load := w.load.atUtilization(0.5, 8*time.Second, deadline)
			load.paidShare, load.callerRetries = 0.2, retries
			low := load.rate(0)
			load.rate = func(since time.Duration) float64 {
				if since >= begin && since < end {
					return 6 * low
				}
				return low
			}
			clairvoyant := float64(completedBetween(simulate(load, idealQueue), begin+deadline, end))
			limit := load.fluidLimit(end - begin - deadline)
			for _, c := range []candidate{{"ours", defaultPolicy}, {"twoChoices", baselinePolicy(twoChoices)}, {"probePool", baselinePolicy(probePool)}} {
				b.Run(fmt.Sprintf("%s/retries%d/%s", w.name, retries, c.name), func(b *testing.B) {
					for range b.N {
						sim := simulate(load, c.build)
						b.ReportMetric(0, "ns/op")
						completed := float64(completedBetween(sim, begin+deadline, end))
						b.ReportMetric(completed/limit, "goodput/ideal")
						b.ReportMetric(completed/clairvoyant, "goodput/clairvoyant")
						paid, all := arrivedBetween(sim, begin, end, paidJob), 0
						for _, j := range sim.jobs {
							if paid(j) && j.retries == 0 {
								all++
							}
						}
						b.ReportMetric(float64(sim.goodput(paid))/float64(all), "paid-kept")
						before := quantile(sim.latencies(arrivedBetween(sim, warmup, begin, shortJob)), 0.99)
						after := quantile(sim.latencies(arrivedBetween(sim, end+2*time.Second, 8*time.Second, shortJob)), 0.99)
						b.ReportMetric(float64(after)/float64(before), "p99-after/before")
					}
				})
			}
		}
	}
}

// BenchmarkBlocking compares the latency of short jobs with and without concurrent
// long jobs.
func BenchmarkBlocking(b *testing.B) {
	for _, utilization := range []float64{0.5, 0.7, 0.85} {
		for _, c := range []candidate{{"ours", defaultPolicy}, {"oursLearnt", func(sim *simulation) policy { return newSchedulerPolicy(sim, defaultHomes) }}, {"twoChoices", baselinePolicy(twoChoices)}, {"probePool", baselinePolicy(probePool)}} {
			b.Run(fmt.Sprintf("defectview/%d/%s", int(utilization*100), c.name), func(b *testing.B) {
				for range b.N {
					mixed := namedWorkloads[3].load.atUtilization(utilization, 20*time.Second, 2*time.Second)
					plain := mixed
					plain.longShare = 0
					rate := mixed.rate(0) * (1 - mixed.longShare)
					plain.rate = func(time.Duration) float64 { return rate }
					with, without := simulate(mixed, c.build), simulate(plain, c.build)
					b.ReportMetric(0, "ns/op")
					ratio := float64(quantile(with.latencies(afterWarmup(with, shortJob)), 0.99)) / float64(quantile(without.latencies(afterWarmup(without, shortJob)), 0.99))
					b.ReportMetric(ratio, "short-p99-with/without")
					offered := 0
					for _, j := range with.jobs {
						if j.long {
							offered++
						}
					}
					b.ReportMetric(float64(with.goodput(longJob))/float64(offered), "long-kept")
				}
			})
		}
	}
}

// BenchmarkFault makes one of twelve servers faulty after two seconds and counts the
// affected requests.
func BenchmarkFault(b *testing.B) {
	const begin, duration = 2 * time.Second, 6 * time.Second
	const coldTime, coldFactor = time.Second, 5
	faults := []struct {
		name string
		set  func(*fakeServer)
	}{
		{"slow", func(s *fakeServer) { s.slowdown = 10 }},
		{"failing", func(s *fakeServer) { s.failing = true }},
		{"cold", func(s *fakeServer) {
			s.slowdown, s.instance = coldFactor, "second"
			s.simulation.schedule(coldTime, func() { s.slowdown = 1 })
		}},
	}
	for _, f := range faults {
		for _, c := range []candidate{{"ours", defaultPolicy}, {"leastReported", baselinePolicy(leastReported)}, {"twoChoices", baselinePolicy(twoChoices)}, {"probePool", baselinePolicy(probePool)}} {
			b.Run(f.name+"/"+c.name, func(b *testing.B) {
				for range b.N {
					sim := newSimulation(benchSeed, namedWorkloads[0].load.atUtilization(0.7, duration, 2*time.Second))
					faulty := sim.servers[0]
					sim.schedule(begin, func() { f.set(faulty) })
					sim.run(c.build(sim))
					affected, served := 0, 0
					start := sim.jobs[0].arrived
					for _, j := range sim.jobs {
						if j.server != faulty || j.arrived.Sub(start) < begin {
							continue
						}
						if j.arrived.Sub(start) < begin+coldTime || f.name != "cold" {
							affected++
						}
						if j.arrived.Sub(start) >= begin+2*coldTime {
							served++
						}
					}
					all := sim.latencies(arrivedBetween(sim, begin, duration, anyJob))
					b.ReportMetric(0, "ns/op")
					b.ReportMetric(float64(affected), "hurt")
					later := len(sim.latencies(arrivedBetween(sim, begin+2*coldTime, duration, anyJob)))
					b.ReportMetric(float64(served)*float64(len(sim.servers))/float64(later), "share-after")
					b.ReportMetric(float64(affected)/float64(len(all))*100, "hurt-%")
					b.ReportMetric(quantile(all, 0.99).Seconds()*1000, "p99-ms")
				}
			})
		}
	}
}

// BenchmarkDecision measures the cost of one routing decision and its release.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{12, 100, 1300} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			sim := newSimulation(benchSeed, workload{servers: servers, zones: 7})
			var list []verbenastand.Server
			for i, s := range sim.servers {
				s.index = i
				list = append(list, s.config())
			}
			s := scheduler.NewScheduler(scheduler.Config{Clock: sim, Self: verbenastand.NewHost(verbenastand.HostConfig{Instance: verbenastand.NewInstance("h", 1), Zone: "zone-a"}), Expected: func() time.Duration { return 8 * time.Millisecond }})
			service := verbenastand.NewService(verbenastand.ServiceConfig{Name: "s", Timeout: time.Second, Homes: 2})
			s.Update(service, list, nil)
			waiter := &scheduler.Waiter{Priority: verbenastand.PriorityNormal, Expected: 8 * time.Millisecond, Deadline: sim.now.Add(time.Second), Notify: func() {}}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if !s.Submit(waiter) {
					b.Fatal("no slot")
				}
				grant, err := waiter.Grant()
				if err != nil {
					b.Fatal(err)
				}
				s.Release(grant, estimator.Succeeded, scheduler.Report{InFlight: 2})
			}
		})
	}
}
