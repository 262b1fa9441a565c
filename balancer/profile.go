package balancer

import (
	"math"
	"sync"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	// profileWeight is the weight of one duration in the moving averages.
	profileWeight = 0.04
	// maxLevels bounds the concurrency levels (numbers of running requests) for
	// which a separate factor is learned.
	maxLevels = 64
	// defaultSaturationFactor is how many times longer a request is expected to take
	// at a server with more than lightShare of its slots in use, until durations have
	// been observed.
	defaultSaturationFactor = 1.3
	lightShare              = 0.67
	// explorationRequests is the number of requests for each concurrency level that
	// are sent to saturated servers as if they were lightly loaded, to learn how
	// much slower they are. One more is sent after every explorationPeriod requests
	// that ran at lightly loaded servers.
	explorationRequests = 5
	explorationPeriod   = 200
	// maxBaseRatio bounds the effect of one slow request on the expected duration of
	// its route.
	maxBaseRatio = 10
	// maxRatioIncrease bounds the effect of one slow request on a saturation factor.
	maxRatioIncrease = 3
	// maxSaturationFactor bounds the learned saturation factors.
	maxSaturationFactor = 4
	// initialTargetShare is the share of a route's target latency that its requests
	// are expected to take before any was observed.
	initialTargetShare = 0.35
	// defaultExpected is the expected duration for a route without a target latency.
	defaultExpected = 100 * time.Millisecond
)

// profile learns how long the requests of each route take at the servers of a
// service, and how that grows with the number of requests that a server runs
// concurrently.
type profile struct {
	mu     sync.Mutex
	routes map[verbenastand.RouteName]float64
	// factors holds the saturation factor of each concurrency level: how many times
	// longer a request takes than at a lightly loaded server, zero before the first
	// observation.
	factors [maxLevels]float64
	// samples counts the requests observed for each factor.
	samples [maxLevels]int
	// lightSamples counts the requests observed at lightly loaded servers.
	lightSamples int
	// slots is the highest number of slots of a server so far.
	slots int
}

func newProfile() *profile { return &profile{routes: make(map[verbenastand.RouteName]float64)} }

// observe records the duration of a request that raised the server's concurrency to
// level. The duration is already divided by the slowdown of the machine.
func (p *profile) observe(route verbenastand.RouteName, level int, took float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	level = max(1, min(level, maxLevels-1))
	base := p.routes[route]
	if base == 0 {
		return
	}
	factor := p.factorLocked(level)
	ratio := took / base
	if p.lightLocked(level) {
		p.routes[route] = base * (1 + profileWeight*(math.Min(ratio, maxBaseRatio)-1))
		p.lightSamples++
		return
	}
	ratio = math.Min(ratio, maxRatioIncrease*factor)
	p.samples[level]++
	weight := math.Max(profileWeight, 1/float64(1+p.samples[level]))
	factor += weight * (ratio - factor)
	p.factors[level] = math.Max(1, math.Min(maxSaturationFactor, factor))
}

func (p *profile) lightLocked(level int) bool { return float64(level) <= lightShare*float64(p.slots) }

func (p *profile) factorLocked(level int) float64 {
	if p.lightLocked(level) {
		return 1
	}
	if f := p.factors[level]; f != 0 {
		return f
	}
	return defaultSaturationFactor
}

// expected returns how long requests of the route take at a lightly loaded server.
func (p *profile) expected(r verbenastand.Route) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	base := p.routes[r.Name()]
	if base != 0 {
		return time.Duration(base)
	}
	base = initialTargetShare * float64(r.Target())
	if base <= 0 {
		base = float64(defaultExpected)
	}
	p.routes[r.Name()] = base
	return time.Duration(base)
}

// saturation returns the saturation factor for a request that raises a server's
// concurrency to level, and whether the server then counts as saturated.
func (p *profile) saturation(level, slots int) (factor float64, saturated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots = max(p.slots, slots)
	level = max(1, min(level, maxLevels-1))
	factor = p.factorLocked(level)
	learned := p.samples[level] >= explorationRequests+p.lightSamples/explorationPeriod
	return factor, learned && factor > saturationThreshold
}

// decayFactor returns the fraction of a value that is left after the elapsed time if
// the value halves every halfLife.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
