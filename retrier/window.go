package retrier

import (
	"sync"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	// windowSteps is the number of buckets of the sliding window.
	windowSteps = 20
	// windowMargin is the fraction of the deployment's budget that hosts use. The
	// rest is a safety margin, because each host counts only its own requests, and
	// at slightly different times.
	windowMargin = 0.8
)

// WindowBudgetConfig configures a WindowBudget.
type WindowBudgetConfig struct {
	Clock verbenastand.Clock
	// Duration is the length of the window.
	Duration time.Duration
	// Ratio is how many retries each request adds to the budget.
	Ratio float64
	// Allowance is how many additional retries all hosts together have in a window.
	Allowance float64
	// Hosts returns the number of hosts that share the allowance, or zero while it
	// is unknown.
	Hosts func() int
}

// WindowBudget is a budget for retries of one service over a sliding window. Each
// host limits its retries to the ratio of its own requests plus its share of the
// allowance. The sum over any set of hosts then stays within the budget of the
// deployment without coordination between hosts.
type WindowBudget struct {
	config  WindowBudgetConfig
	started time.Time

	mu       sync.Mutex
	step     int64
	requests [windowSteps]int
	retries  [windowSteps]int
}

// NewWindowBudget returns a budget without requests.
func NewWindowBudget(c WindowBudgetConfig) *WindowBudget {
	return &WindowBudget{config: c, started: c.Clock.Now()}
}

// RecordRequest records a request.
func (w *WindowBudget) RecordRequest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.requests[w.step%windowSteps]++
}

// Allow reports whether a request may be retried at another server, and records
// the retry.
func (w *WindowBudget) Allow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if w.availableLocked() < 1 {
		return false
	}
	w.retries[w.step%windowSteps]++
	return true
}

// Available returns how many retries are left.
func (w *WindowBudget) Available() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.availableLocked()
}

func (w *WindowBudget) availableLocked() float64 {
	requests, retries := 0, 0
	for i := range windowSteps {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	limit := w.config.Ratio * float64(requests)
	if hosts := w.config.Hosts(); hosts > 0 {
		limit += w.config.Allowance / float64(hosts)
	}
	return windowMargin*limit - float64(retries)
}

// advance clears the buckets that have left the window.
func (w *WindowBudget) advance() {
	step := int64(w.config.Clock.Now().Sub(w.started) / (w.config.Duration / windowSteps))
	elapsed := min(step-w.step, windowSteps)
	for i := int64(1); i <= elapsed; i++ {
		w.requests[(w.step+i)%windowSteps] = 0
		w.retries[(w.step+i)%windowSteps] = 0
	}
	w.step = max(w.step, step)
}
