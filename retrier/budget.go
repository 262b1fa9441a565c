// Package retrier limits the extra load that retries cause.
package retrier

import (
	"sync/atomic"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	// MaxAttempts is the maximum number of attempts of one host for one request.
	MaxAttempts = 3
	// tokenScale is the number of tokens per retry, to allow fractions of a retry.
	tokenScale = 1000
	// DefaultShare is the default of Config.Share.
	DefaultShare = 100
	// DefaultBurst is the default of Config.Burst.
	DefaultBurst = 20
)

// Config configures a Budget.
type Config struct {
	// Share is how many thousandths of a retry each first attempt adds.
	Share int64
	// Burst is the capacity of the budget, in retries.
	Burst int64
}

// Budget is a token bucket that first attempts fill and retries drain. It starts
// empty, so that a host that restarts during an outage does not add to the load. It
// is safe for concurrent use.
type Budget struct {
	config Config
	tokens atomic.Int64
}

// NewBudget returns an empty budget.
func NewBudget(c Config) *Budget {
	if c.Share == 0 {
		c.Share = DefaultShare
	}
	if c.Burst == 0 {
		c.Burst = DefaultBurst
	}
	return &Budget{config: c}
}

// Deposit adds to the budget for a request. A request that is itself a retry adds
// nothing, because budgets would multiply along a chain of services otherwise.
func (b *Budget) Deposit(retried bool) {
	if retried {
		return
	}
	limit := b.config.Burst * tokenScale
	for {
		old := b.tokens.Load()
		next := min(limit, old+b.config.Share)
		if next == old || b.tokens.CompareAndSwap(old, next) {
			return
		}
	}
}

// TryWithdraw takes one retry from the budget, and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	for {
		old := b.tokens.Load()
		if old < tokenScale {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-tokenScale) {
			return true
		}
	}
}

// Available returns the number of whole retries in the budget.
func (b *Budget) Available() int64 { return b.tokens.Load() / tokenScale }

// Request describes the attempt that failed.
type Request struct {
	// Attempt is the number of the attempt on this host, starting at 1.
	Attempt int
	// Retried is set if the request is itself a retry by a caller within the
	// deployment, which was already taken from the caller's budget.
	Retried bool
	// Idempotent is set if the request may run twice.
	Idempotent bool
	// Verdict reports whether the failed attempt may have run.
	Verdict verbenastand.Verdict
	// Unreached is set if the failed attempt put no load on any server.
	Unreached bool
}

// Allow reports whether the request may be retried, and takes the retry from the
// budget. A request that may have run is retried only if it is idempotent. The
// retry of an attempt that reached no server is free. A request that is itself a
// retry is retried only in that case, so that retries do not multiply along a chain
// of services.
func (b *Budget) Allow(r Request) bool {
	if r.Attempt >= MaxAttempts || (r.Retried && !r.Unreached) {
		return false
	}
	if r.Verdict != verbenastand.NotRun && !r.Idempotent {
		return false
	}
	return r.Unreached || b.TryWithdraw()
}
