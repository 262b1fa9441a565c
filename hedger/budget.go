package hedger

import (
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	// windowSteps is the number of buckets of the sliding window.
	windowSteps = 30
	// windowMargin is the fraction of the limit that is used. The rest covers the round trip
	// that is measured as server time of first attempts (3 ms of 170 ms and more) and
	// the time by which windows differ between hosts.
	windowMargin = 0.9
	// burstFactor times the limit is the share of the mean number of running first attempts
	// that hedges may add at one moment, beside one hedge. It bounds the extra load while
	// the budget of a whole window is used up at once.
	burstFactor = 2
)

// budgetConfig configures a budget.
type budgetConfig struct {
	Clock  verbenastand.Clock
	Limit  float64
	Window time.Duration
}

// budget keeps the extra server time of the hedged requests of one service on this host
// within a fraction of the server time of its own first attempts, over a sliding window.
// Then the same holds for any set of hosts. What is reserved counts until it is settled,
// and what is settled for a window after that. It starts empty, so that a host that
// restarts during an outage adds no load. It is not safe for concurrent use.
type budget struct {
	config  budgetConfig
	started time.Time
	step    int64
	// first and extra hold the server time of each bucket. extra has one more bucket, so that
	// it covers the whole window when the oldest bucket of first has left it.
	first    [windowSteps]time.Duration
	extra    [windowSteps + 1]time.Duration
	reserved time.Duration
	running  int
}

func newBudget(c budgetConfig) *budget { return &budget{config: c, started: c.Clock.Now()} }

// recordFirst records the server time of a first attempt that has ended.
func (b *budget) recordFirst(took time.Duration) {
	b.advance()
	b.first[b.step%windowSteps] += took
}

// reserve reserves the server time of a hedged request.
func (b *budget) reserve(cost time.Duration) Denial {
	b.advance()
	mean := float64(b.firstSum()) / float64(b.config.Window)
	if b.running > 0 && float64(b.running) >= 1+burstFactor*b.config.Limit*mean {
		return TooManyRunning
	}
	if !b.extend(cost) {
		return OverLimit
	}
	b.running++
	return Allowed
}

// extend reserves more server time for a hedged request.
func (b *budget) extend(cost time.Duration) bool {
	b.advance()
	if b.reserved+b.extraSum()+cost > time.Duration(windowMargin*b.config.Limit*float64(b.firstSum())) {
		return false
	}
	b.reserved += cost
	return true
}

// settle replaces the reservation of a hedged request by its actual cost.
func (b *budget) settle(reserved, actual time.Duration) {
	b.advance()
	b.reserved -= reserved
	b.running--
	b.extra[b.step%(windowSteps+1)] += actual
}

func (b *budget) firstSum() (sum time.Duration) {
	for _, d := range b.first {
		sum += d
	}
	return sum
}

func (b *budget) extraSum() (sum time.Duration) {
	for _, d := range b.extra {
		sum += d
	}
	return sum
}

// advance clears the buckets that have left the window.
func (b *budget) advance() {
	step := int64(b.config.Clock.Now().Sub(b.started) / (b.config.Window / windowSteps))
	elapsed := min(step-b.step, windowSteps+1)
	for i := int64(1); i <= elapsed; i++ {
		b.first[(b.step+i)%windowSteps] = 0
		b.extra[(b.step+i)%(windowSteps+1)] = 0
	}
	b.step = max(b.step, step)
}
