package quarantiner

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

// Guards against hosts that refuse different requests because evidence of the same
// crashes reached them in another order or more than once.
func TestEvidenceMergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := fake.NewClock()
		first, second := NewQuarantiner(Config{Clock: clock}), NewQuarantiner(Config{Clock: clock})
		crashes := rapid.SliceOfN(rapid.IntRange(0, 15), 0, 12).Draw(t, "crashes")
		for _, c := range crashes {
			first.RecordCrash(uint64(c%4), verbenastand.ServerID(fmt.Sprint(c/4)))
		}
		for _, c := range rapid.Permutation(append(crashes, crashes...)).Draw(t, "order") {
			second.Merge(Evidence{Fingerprint: uint64(c % 4), Servers: []verbenastand.ServerID{verbenastand.ServerID(fmt.Sprint(c / 4))}})
		}
		require.Equal(t, first.Quarantined(), second.Quarantined())
		for f := range uint64(4) {
			require.Equal(t, first.Acquire(context.Background(), f) == nil, second.Acquire(context.Background(), f) == nil)
		}
	})
}

func TestRequestThatCrashesServersIsRefusedAtTheLimit(t *testing.T) {
	q := NewQuarantiner(Config{Clock: fake.NewClock()})
	crashed := 0
	for i := range 10 {
		if q.Acquire(context.Background(), 1) != nil {
			continue
		}
		crashed++
		q.RecordCrash(1, verbenastand.ServerID(fmt.Sprint("server-", i)))
		q.Release(1, false)
	}
	require.Equal(t, CrashLimit, crashed)
}

func TestRequestWithResponseIsNoLongerSuspected(t *testing.T) {
	clock := fake.NewClock()
	q := NewQuarantiner(Config{Clock: clock})
	q.RecordCrash(1, "server-a")
	require.NoError(t, q.Acquire(context.Background(), 1))
	q.Release(1, true)
	q.RecordCrash(1, "server-b")
	require.NoError(t, q.Acquire(context.Background(), 1), "one crash since the response")
	q.Release(1, false)
	q.RecordCrash(1, "server-c")
	err := q.Acquire(context.Background(), 1)
	require.Equal(t, verbenastand.NotRun, verbenastand.VerdictOf(err))
	clock.Advance(DefaultLifetime + time.Second)
	require.NoError(t, q.Acquire(context.Background(), 1), "evidence expires")
}

func TestAttemptsOfASuspectRunOneAtATime(t *testing.T) {
	q := NewQuarantiner(Config{Clock: fake.NewClock()})
	q.RecordCrash(1, "server-a")
	require.NoError(t, q.Acquire(context.Background(), 1))
	acquired := make(chan error)
	go func() { acquired <- q.Acquire(context.Background(), 1) }()
	select {
	case err := <-acquired:
		require.FailNow(t, "two attempts of a suspected request ran at once", err)
	case <-time.After(20 * time.Millisecond):
	}
	q.Release(1, true)
	require.NoError(t, <-acquired)
}
