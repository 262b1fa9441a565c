package bounder

import "sync/atomic"

// Budget is an amount of memory in bytes that several users share. It is safe for
// concurrent use.
type Budget struct{ left atomic.Int64 }

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.left.Store(bytes)
	return b
}

// Take takes bytes out of the budget, and reports whether that many were left.
func (b *Budget) Take(bytes int64) bool {
	for {
		left := b.left.Load()
		if bytes > left {
			return false
		}
		if b.left.CompareAndSwap(left, left-bytes) {
			return true
		}
	}
}

// Return returns bytes that were taken.
func (b *Budget) Return(bytes int64) { b.left.Add(bytes) }

// Left returns the number of bytes that are left.
func (b *Budget) Left() int64 { return b.left.Load() }
