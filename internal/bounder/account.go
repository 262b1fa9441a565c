package bounder

import (
	"context"
	"sync"
)

// Account is what one request has taken from a source. Its end returns all of it, whatever its
// users have returned. It is safe for concurrent use.
type Account struct {
	source Source

	mu     sync.Mutex
	held   int64
	closed bool
}

// NewAccount returns an account that takes from a source. It must be closed.
func NewAccount(source Source) *Account { return &Account{source: source} }

// Take implements Source. A closed account provides nothing.
func (a *Account) Take(bytes int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || !a.source.Take(bytes) {
		return false
	}
	a.held += bytes
	return true
}

// Return implements Source.
func (a *Account) Return(bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.held -= bytes
	a.source.Return(bytes)
}

// Close returns what is still taken.
func (a *Account) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	a.source.Return(a.held)
}

type sourceKey struct{}

// NewContext returns a context that carries the source of memory for a request.
func NewContext(ctx context.Context, s Source) context.Context {
	return context.WithValue(ctx, sourceKey{}, s)
}

// FromContext returns the source that a context carries, nil if it carries none.
func FromContext(ctx context.Context) Source {
	s, _ := ctx.Value(sourceKey{}).(Source)
	return s
}
