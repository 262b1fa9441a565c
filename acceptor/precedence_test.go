package acceptor

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// Guards against a request that is passed on although its connection is being cut: a cancelled
// context reaches the requests of a connection one after the other (issue 40, LOST).
func TestARequestThatEndsReleasesNoneBehindIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := newPrecedence()
		first.set(true)
		ended := &Request{turn: make(chan struct{}), ahead: first, own: newPrecedence()}
		behind := &Request{turn: make(chan struct{}), ahead: ended.own, own: newPrecedence()}
		endedCtx, end := context.WithCancel(t.Context())
		behindCtx, cut := context.WithCancel(t.Context())
		released := make(chan error, 1)
		go func() { released <- behind.AwaitAhead(behindCtx, false) }()
		end()
		require.Error(t, ended.AwaitAhead(endedCtx, false))
		synctest.Wait()
		require.Empty(t, released)
		cut()
		require.Error(t, <-released)
	})
}
