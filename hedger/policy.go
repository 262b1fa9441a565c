package hedger

import (
	"math"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	// earlyFactor is the multiple of the expected duration after which the default policy
	// sends a hedge if it can still be in time.
	earlyFactor = 1.4
	// StallFactor is the multiple of the estimated duration after which an attempt counts as
	// stalled. The default policy sends a hedge that can't be in time only then.
	StallFactor = 3
	// stallCheckFactor times the expected duration is the interval at which an entry host
	// checks by the default policy whether the first server has stalled.
	stallCheckFactor   = 4
	minStallCheckDelay = 15 * time.Millisecond
	// minGain is the share of the remaining time that a hedge must save on average. One half
	// is what it saves if durations are exponentially distributed, where the time that
	// has passed does not affect the time that remains.
	minGain = 0.5
	// minWins is the probability with which a hedge must respond first. Without it
	// a few very long durations would make a hedge of any attempt worthwhile on
	// average, nearly all of which are about to end.
	minWins = 0.5
	// rarest is the least share of all attempts that decides when they are hedged. Of 4,000
	// that are kept it is two.
	rarest = 0.0005
	// replanAfter is the number of observations of a route after which the age at which
	// attempts are hedged is computed again, or 1/replanShare of all that are kept if that is
	// more. It takes 1.0 ms if all buckets are in use (BenchmarkPlan).
	replanAfter = 64
	replanShare = 8
	// reserveQuantile is the quantile of the second attempt's duration that is reserved
	// before it is sent. Longer ones need an extension. With 0.95 a host of 6 requests a second reserved a
	// quarter of its budget at a limit of 0.05 for one hedge, and 0.026 to 0.029 of the limit was used
	// instead of 0.028 to 0.030.
	reserveQuantile = 0.75
)

// Attempt describes the running attempt that a hedge would duplicate.
type Attempt struct {
	Service verbenastand.ServiceName
	Route   verbenastand.RouteName
	// Expected is how long the request takes at a lightly loaded server, Estimate how long
	// it was expected to take at the server that was chosen.
	Expected, Estimate time.Duration
	// TargetLeft is the time until the target latency of the route.
	TargetLeft time.Duration
	// Slowdown is what the server reported before the attempt, SlowdownNow the latest
	// that is known; 1 if nothing.
	Slowdown, SlowdownNow float64
	// Elapsed is the time since the attempt was sent.
	Elapsed time.Duration
}

// plan is what follows from the distribution of a route.
type plan struct {
	// after is the age, at a server without slowdown, at which an attempt is hedged; negative
	// if it is not.
	after time.Duration
	// second is the reserved duration of a second attempt.
	second time.Duration
	// tail is from which ages attempts are hedged for the sake of the longest durations.
	tail tailPlans
}

// considerAt returns the lowest age, at a server without slowdown, at which a hedge is worthwhile;
// negative if none is.
func (p plan) considerAt() time.Duration {
	at := p.after
	for _, t := range p.tail {
		if t.quantile > 0 && (at < 0 || t.after < at) {
			at = t.after
		}
	}
	return at
}

// Delay returns the age of an attempt at which a hedge is considered; ok is false if none
// ever is.
func (h *Hedger) Delay(a Attempt) (delay time.Duration, ok bool) {
	switch h.mode {
	case Disabled:
		return 0, false
	case Limited:
		h.mu.Lock()
		defer h.mu.Unlock()
		d := h.routeLocked(a.Service, a.Route)
		if !d.known() {
			return StallFactor * a.Estimate, true
		}
		after := h.planLocked(d).considerAt()
		if after < 0 {
			// The attempt may outlast all that were observed.
			return StallFactor * a.Estimate, true
		}
		return time.Duration(float64(after) * max(1, a.Slowdown)), true
	}
	early := time.Duration(earlyFactor * float64(a.Expected))
	if early+a.Expected < a.TargetLeft {
		return early, true
	}
	return StallFactor * a.Estimate, true
}

// StallCheckInterval returns the interval at which an entry host checks whether the server of an
// attempt has stalled.
func StallCheckInterval(expected time.Duration) time.Duration {
	return max(minStallCheckDelay, stallCheckFactor*expected)
}

// planLocked returns the age from which attempts are hedged: the lowest one at which a hedge is
// worthwhile, and at which hedging all attempts that reach it stays within the limit. If there
// is none, only some can be hedged, and it is the age at which a hedge saves most for its cost.
func (h *Hedger) planLocked(d *distribution) plan {
	if d.observed < replanAfter || d.observed < int(d.samples/replanShare) {
		return d.plan
	}
	d.observed = 0
	all := d.remaining(0)
	d.plan = plan{after: -1, second: time.Duration(quantile(all, reserveQuantile))}
	allowed := windowMargin * *h.config.Limit * mean(all)
	second := condense(all)
	survival := newSurvival(all)
	for i, q := range tailQuantiles {
		d.plan.tail[i] = d.planTail(q, survival, all, second, allowed)
	}
	best := 0.0
	for _, p := range all {
		age := time.Duration(p.duration)
		reached := survivalAfter(all, p.duration)
		g := gainOf(d.remaining(age), age, 1, second, 1)
		if reached < rarest || !g.worthwhile() {
			continue
		}
		if reached*g.cost <= allowed {
			d.plan.after = age
			break
		}
		if ratio := g.saved / g.cost; ratio > best {
			best, d.plan.after = ratio, age
		}
	}
	return d.plan
}

// gain is what a hedge is expected to save and to cost.
type gain struct {
	// share is the saved share of the remaining time.
	share float64
	// saved is the saved time.
	saved float64
	// wins is the probability that the second attempt responds first.
	wins float64
	// cost is the server time of the losing attempt.
	cost float64
}

func (g gain) worthwhile() bool { return g.share >= minGain && g.wins >= minWins }

// gainOf returns the gain of a second attempt. rest holds the total durations that the
// first attempt may have, second those of the second one, each at a server without slowdown.
func gainOf(rest []point, elapsed time.Duration, slowdown float64, second []point, slowdownOfSecond float64) gain {
	natural := float64(elapsed)
	alone, both, wins, cost := 0.0, 0.0, 0.0, 0.0
	for _, r := range rest {
		left := max(0, r.duration-natural) * slowdown
		alone += r.probability * left
		for _, s := range second {
			p := r.probability * s.probability
			took := s.duration * slowdownOfSecond
			both += p * min(left, took)
			if took < left {
				wins += p
				cost += p * (natural*slowdown + took)
			} else {
				cost += p * left
			}
		}
	}
	if alone == 0 {
		return gain{}
	}
	return gain{share: 1 - both/alone, saved: alone - both, wins: wins, cost: cost}
}

// Worthwhile reports whether a second attempt at a server with the given slowdown
// saves enough of the remaining time of the first.
func (h *Hedger) Worthwhile(a Attempt, slowdownOfSecond float64) bool {
	if h.mode != Limited {
		return h.mode == Default
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.routeLocked(a.Service, a.Route)
	if !d.known() {
		return a.Elapsed >= StallFactor*a.Estimate
	}
	natural := time.Duration(float64(a.Elapsed) / max(1, a.Slowdown))
	rest, all := d.remaining(natural), d.remaining(0)
	g := gainOf(rest, natural, max(1, a.SlowdownNow), condense(all), max(1, slowdownOfSecond))
	return g.worthwhile() || h.planLocked(d).tail.shortensTail(a, natural, rest, all, max(1, slowdownOfSecond))
}

// CountWorthwhile records that a hedge of an attempt is worthwhile. It is called once for each attempt, whether or
// not the hedge is then sent.
func (h *Hedger) CountWorthwhile(a Attempt) {
	if h.mode != Limited {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.routeLocked(a.Service, a.Route)
	if d.reaches(time.Duration(float64(a.Elapsed) / max(1, a.Slowdown))) {
		d.wanted++
	}
}

// secondDurationLocked returns the server time that is reserved for a second attempt.
func (h *Hedger) secondDurationLocked(a Attempt) time.Duration {
	if d := h.routeLocked(a.Service, a.Route); d.known() {
		if second := h.planLocked(d).second; second > 0 {
			return second
		}
	}
	return time.Duration(math.Ceil(earlyFactor * float64(max(a.Expected, time.Millisecond))))
}
