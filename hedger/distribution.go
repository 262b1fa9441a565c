package hedger

import (
	"math"
	"time"
)

const (
	// Buckets are logarithmic: each is bucketRatio times as long as the one before, from
	// minDuration to about an hour.
	bucketRatio = 1.1
	minDuration = 100 * time.Microsecond
	buckets     = 184
	// maxSamples is the number of observations after which all of them are halved, so
	// that the distribution follows the service.
	maxSamples = 4000
	// minSamples is the number of observations below which the distribution counts as
	// unknown.
	minSamples = 50
	// censoredFactor times its age is how long an attempt is expected to last that is older
	// than all completed ones, of which nothing else is known.
	censoredFactor = 2
)

// distribution holds the durations of the attempts of one route, divided by the slowdown
// that their servers reported. Attempts that this host cancelled are censored: they would have
// taken longer. Without them the distribution would lose its long durations, because the
// attempts that take long are the ones that are hedged and then cancelled.
type distribution struct {
	completed, censored [buckets]float64
	samples             float64
	// observed counts the observations since the plan was made.
	observed int
	plan     plan
	// considered counts the attempts that reached the age at which a hedge is considered, wanted those
	// of them for which one was worthwhile then or later.
	considered, wanted float64
}

const (
	// initialConsidered and initialWanted are the counts of a distribution of which nothing is known.
	initialConsidered = 8
	initialWanted     = 4
	// maxConsidered is the number of considered attempts after which both counts are halved.
	maxConsidered = 64
	// minWantedShare is the least share of the considered attempts that is assumed to be wanted.
	minWantedShare = 0.2
)

// wantedShare returns the share of the considered attempts of which a hedge is worthwhile.
func (d *distribution) wantedShare() float64 {
	return min(1, max(minWantedShare, d.wanted/d.considered))
}

// reaches reports whether an attempt that has lasted for a time at a server without slowdown is
// considered.
func (d *distribution) reaches(lasted time.Duration) bool {
	if !d.known() {
		return false
	}
	after := d.plan.considerAt()
	return after >= 0 && lasted >= after
}

// consider counts an attempt that has ended.
func (d *distribution) consider(lasted time.Duration) {
	if !d.reaches(lasted) {
		return
	}
	if d.considered++; d.considered >= maxConsidered {
		d.considered /= 2
		d.wanted /= 2
	}
}

func newDistribution() *distribution {
	return &distribution{
		observed: replanAfter, plan: plan{after: -1}, considered: initialConsidered, wanted: initialWanted,
	}
}

func (d *distribution) observe(took time.Duration, censored bool) {
	counts := &d.completed
	if censored {
		counts = &d.censored
	}
	counts[bucketOf(took)]++
	d.observed++
	if d.samples++; d.samples < maxSamples {
		return
	}
	d.samples /= 2
	for i := range buckets {
		d.completed[i] /= 2
		d.censored[i] /= 2
	}
}

func bucketOf(d time.Duration) int {
	if d <= minDuration {
		return 0
	}
	return min(buckets-1, int(math.Log(float64(d)/float64(minDuration))/math.Log(bucketRatio)))
}

// middles holds the duration in the middle of each bucket.
var middles = func() (m [buckets]float64) {
	for i := range m {
		m[i] = float64(minDuration) * math.Pow(bucketRatio, float64(i)+0.5)
	}
	return m
}()

// bucketStart returns the shortest duration of a bucket.
func bucketStart(bucket int) float64 { return starts[bucket] }

// starts holds the shortest duration of each bucket, and the end of the last one.
var starts = func() (s [buckets + 1]float64) {
	for i := range s {
		s[i] = float64(minDuration) * math.Pow(bucketRatio, float64(i))
	}
	return s
}()

func middle(bucket int) float64 { return middles[bucket] }

// point is a duration with its probability.
type point struct{ duration, probability float64 }

func (d *distribution) known() bool { return d.samples >= minSamples }

// remaining returns the distribution of the total duration of an attempt that has lasted for
// the elapsed time, by the product-limit estimator (Kaplan and Meier 1958). What is left of the
// probability after the longest completed attempt is one point at censoredFactor
// times that duration.
func (d *distribution) remaining(elapsed time.Duration) []point {
	first := 0
	if elapsed > 0 {
		first = min(bucketOf(elapsed)+1, buckets-1)
	}
	atRisk := 0.0
	for i := first; i < buckets; i++ {
		atRisk += d.completed[i] + d.censored[i]
	}
	survival, last := 1.0, max(float64(elapsed), middle(max(0, first-1)))
	points := make([]point, 0, buckets-first+1)
	for i := first; i < buckets && atRisk > 0; i++ {
		if d.completed[i] > 0 {
			p := survival * min(1, d.completed[i]/atRisk)
			points = append(points, point{middle(i), p})
			survival -= p
		}
		if d.completed[i]+d.censored[i] > 0 {
			last = middle(i)
		}
		atRisk -= d.completed[i] + d.censored[i]
	}
	const negligible = 1e-9
	if survival > negligible {
		points = append(points, point{censoredFactor * last, survival})
	}
	return points
}

// survivalAfter returns the probability that an attempt lasts for longer than the given time.
func survivalAfter(all []point, t float64) (p float64) {
	for _, q := range all {
		if q.duration > t {
			p += q.probability
		}
	}
	return p
}

func mean(points []point) (m float64) {
	for _, p := range points {
		m += p.duration * p.probability
	}
	return m
}

// quantile returns the duration that is exceeded with a probability of 1-q.
func quantile(points []point, q float64) float64 {
	sum := 0.0
	for _, p := range points {
		if sum += p.probability; sum >= q {
			return p.duration
		}
	}
	if len(points) == 0 {
		return 0
	}
	return points[len(points)-1].duration
}

// condensedPoints is the number of points of a condensed distribution.
const condensedPoints = 16

// condense returns a distribution of few points with the same mean: each stands for neighbors with
// about equal probability in all.
func condense(points []point) []point {
	if len(points) <= condensedPoints {
		return points
	}
	condensed := make([]point, 0, condensedPoints+1)
	var group point
	for _, p := range points {
		sum := group.probability + p.probability
		if sum > 0 {
			group.duration = (group.duration*group.probability + p.duration*p.probability) / sum
		}
		group.probability = sum
		if group.probability >= 1.0/condensedPoints {
			condensed = append(condensed, group)
			group = point{}
		}
	}
	if group.probability > 0 {
		condensed = append(condensed, group)
	}
	return condensed
}
