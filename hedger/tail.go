package hedger

import (
	"math"
	"time"
)

const (
	// minTailGain is the least share by which hedges must shorten a quantile.
	minTailGain = 0.1
	// tailTolerance is the factor to the shortest quantile up to which a later age, which costs less,
	// is preferred.
	tailTolerance = 1.02
	// maxHedgedShare is the largest share of the requests that is hedged for the sake of the
	// quantile: a retry budget of a fifth of the requests leaves some for failed ones.
	maxHedgedShare = 0.125
	// minTailWins is the least probability with which a hedge responds before the quantile and the first
	// attempt does not.
	minTailWins = 0.25
)

// tailQuantiles are the quantiles of the durations that hedges are to shorten. If long durations are
// rarer than one in a hundred, the first one does not depend on them.
var tailQuantiles = [...]float64{0.99, 0.999}

// survival holds the probability that an attempt lasts longer than a duration, which is distributed
// evenly within each bucket.
type survival struct {
	// probability is that of each bucket, after that of all later ones.
	probability, after [buckets]float64
}

func newSurvival(points []point) *survival {
	s := &survival{}
	for _, p := range points {
		s.probability[bucketOf(time.Duration(p.duration))] += p.probability
	}
	sum := 0.0
	for i := buckets - 1; i >= 0; i-- {
		s.after[i] = sum
		sum += s.probability[i]
	}
	return s
}

// beyond returns the probability that an attempt lasts longer than a duration.
func (s *survival) beyond(duration float64) float64 {
	if duration <= 0 {
		return 1
	}
	i := bucketOf(time.Duration(duration))
	lower, upper := bucketStart(i), bucketStart(i+1)
	rest := min(1, max(0, (upper-duration)/(upper-lower)))
	return s.after[i] + s.probability[i]*rest
}

// hedgedQuantile returns the quantile of the time until the first of two attempts responds, the second
// of which is sent at an age.
func (s *survival) hedgedQuantile(q, age float64) float64 {
	low, high := 0.0, bucketStart(buckets)
	for high-low > float64(minDuration) {
		middle := (low + high) / 2
		if s.beyond(middle)*s.beyond(middle-age) > 1-q {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// tailPlan is from which age attempts are hedged to shorten the quantile, and the quantile with these
// hedges, zero if there is no such age. Both are those at servers without slowdown.
type tailPlan struct{ after, quantile time.Duration }

// planTail returns the age with the shortest quantile of those at which hedging the attempts that reach
// it costs at most what is allowed, or a later one with nearly the same quantile. If there is none,
// it is the age at which hedges cost least of those that shorten the quantile, and the budget decides
// which attempts are hedged.
func (d *distribution) planTail(q float64, s *survival, all, second []point, allowed float64) tailPlan {
	wanted := d.wantedShare()
	enough := (1 - minTailGain) * s.hedgedQuantile(q, bucketStart(buckets))
	shortest, cheapest := enough, math.Inf(1)
	var plans []tailPlan
	var chosen tailPlan
	for _, p := range all {
		reached := s.beyond(p.duration)
		if reached*wanted > maxHedgedShare || reached < 1-q {
			continue
		}
		age, quantile := time.Duration(p.duration), s.hedgedQuantile(q, p.duration)
		if quantile > enough {
			break
		}
		cost := reached * wanted * gainOf(d.remaining(age), age, 1, second, 1).cost
		if cost <= allowed {
			plans = append(plans, tailPlan{age, time.Duration(quantile)})
			shortest = min(shortest, quantile)
		}
		if cost < cheapest {
			cheapest, chosen = cost, tailPlan{age, time.Duration(quantile)}
		}
	}
	for _, p := range plans {
		if float64(p.quantile) <= tailTolerance*shortest {
			chosen = p
		}
	}
	return chosen
}

// tailPlans are the plans for each of tailQuantiles.
type tailPlans [len(tailQuantiles)]tailPlan

// shortensTail reports whether a hedge helps with any of the quantiles.
func (t tailPlans) shortensTail(a Attempt, natural time.Duration, rest, second []point, slowdownOfSecond float64) bool {
	for _, p := range t {
		if p.shortensTail(a, natural, rest, second, slowdownOfSecond) {
			return true
		}
	}
	return false
}

// shortensTail reports whether a hedge is likely enough to respond before the quantile and the first attempt
// to respond after it.
func (p tailPlan) shortensTail(a Attempt, natural time.Duration, rest, second []point, slowdownOfSecond float64) bool {
	left := float64(p.quantile - a.Elapsed)
	if p.quantile == 0 || natural < p.after || left <= 0 {
		return false
	}
	misses := 0.0
	for _, r := range rest {
		if (r.duration-float64(natural))*max(1, a.SlowdownNow) > left {
			misses += r.probability
		}
	}
	return misses*(1-survivalAfter(second, left/slowdownOfSecond)) >= minTailWins
}
