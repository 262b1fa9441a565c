// Package verifier checks invariants at run time. Each violation is counted, and the
// first one of each invariant is reported. In strict mode, which tests use, a
// violation panics.
package verifier

import (
	"sync"
	"sync/atomic"
)

var (
	failures  atomic.Int64
	strict    atomic.Bool
	reported  sync.Map
	onFailure atomic.Pointer[func(invariant string)]
)

// SetStrict sets whether violations panic.
func SetStrict(on bool) { strict.Store(on) }

// OnFailure sets the function that is called on the first violation of each
// invariant.
func OnFailure(f func(invariant string)) { onFailure.Store(&f) }

// Failures returns the number of violations.
func Failures() int64 { return failures.Load() }

// Assert records a violation of the invariant unless holds is true.
func Assert(holds bool, invariant string) {
	if holds {
		return
	}
	failures.Add(1)
	if strict.Load() {
		panic("invariant violated: " + invariant)
	}
	if _, seen := reported.LoadOrStore(invariant, true); seen {
		return
	}
	if f := onFailure.Load(); f != nil {
		(*f)(invariant)
	}
}
