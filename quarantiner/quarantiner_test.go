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

// request returns the fingerprint of a request of one caller.
func request(number int) Fingerprint { return requestOf("caller", number) }

func requestOf(caller string, number int) Fingerprint {
	return NewFingerprint(FingerprintConfig{Caller: caller, Path: fmt.Sprint("/", number)})
}

// Guards against hosts that refuse different requests because evidence of the same
// crashes reached them in another order or more than once.
func TestEvidenceMergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := fake.NewClock()
		first, second := NewQuarantiner(Config{Clock: clock}), NewQuarantiner(Config{Clock: clock})
		crashes := rapid.SliceOfN(rapid.IntRange(0, 15), 0, 12).Draw(t, "crashes")
		for _, c := range crashes {
			recordCrash(first, request(c%4), verbenastand.ServerID(fmt.Sprint(c/4)))
		}
		for _, c := range rapid.Permutation(append(crashes, crashes...)).Draw(t, "order") {
			server := []verbenastand.ServerID{verbenastand.ServerID(fmt.Sprint(c / 4))}
			second.Merge(Evidence{Fingerprint: request(c % 4).perCaller, Servers: server})
			second.Merge(Evidence{Fingerprint: request(c % 4).allCallers, Scope: AllCallers, Servers: server})
		}
		require.Equal(t, first.Quarantined(), second.Quarantined())
		require.ElementsMatch(t, fingerprints(first), fingerprints(second))
		for f := range 4 {
			require.Equal(t, first.Acquire(context.Background(), request(f)) == nil, second.Acquire(context.Background(), request(f)) == nil)
		}
	})
}

func fingerprints(q *Quarantiner) []uint64 {
	var list []uint64
	for _, e := range q.Evidence(MaxSuspects) {
		list = append(list, e.Fingerprint)
	}
	return list
}

// exchange sends all evidence of one host to another.
func exchange(from, to *Quarantiner) {
	for _, e := range from.Evidence(MaxSuspects) {
		to.Merge(e)
	}
}

// Guards against evidence that never expires, because hosts that still have it send
// it to those on which it has just expired.
func TestEvidenceExpiresOnAllHosts(t *testing.T) {
	clock := fake.NewClock()
	first, second := NewQuarantiner(Config{Clock: clock}), NewQuarantiner(Config{Clock: clock})
	recordCrash(first, request(1), "server-a")
	recordCrash(first, request(1), "server-b")
	clock.Advance(time.Second)
	exchange(first, second)
	require.Error(t, second.Acquire(context.Background(), request(1)))
	const step = 100 * time.Millisecond
	for elapsed := time.Second; elapsed < DefaultLifetime+2*time.Second; elapsed += step {
		exchange(first, second)
		exchange(second, first)
		clock.Advance(step)
		first.Sweep(clock.Now())
		exchange(second, first)
		second.Sweep(clock.Now())
	}
	require.NoError(t, first.Check(request(1)))
	require.NoError(t, second.Check(request(1)))
}

// Guards against evidence that a response has cleared and that another host sends
// again: a request that was merely in flight would stay suspected.
func TestClearedEvidenceDoesNotReturn(t *testing.T) {
	clock := fake.NewClock()
	first, second := NewQuarantiner(Config{Clock: clock}), NewQuarantiner(Config{Clock: clock})
	recordCrash(first, request(1), "server-a")
	exchange(first, second)
	require.NoError(t, first.Acquire(context.Background(), request(1)))
	first.Release(request(1), true)
	exchange(second, first)
	require.False(t, first.Suspected(request(1)), "the other host had not learned of the response")
	exchange(first, second)
	require.False(t, second.Suspected(request(1)))
	recordCrash(second, request(1), "server-b")
	exchange(second, first)
	require.NoError(t, first.Check(request(1)), "one crash since the response")
	recordCrash(first, request(1), "server-c")
	require.Error(t, first.Check(request(1)))
}

// Checks that hosts agree on the evidence once each has received all messages of the
// other, whatever crashes and responses came between.
func TestEvidenceConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := fake.NewClock()
		hosts := []*Quarantiner{NewQuarantiner(Config{Clock: clock}), NewQuarantiner(Config{Clock: clock}), NewQuarantiner(Config{Clock: clock})}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			host := rapid.SampledFrom(hosts).Draw(t, "host")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				recordCrash(host, request(1), verbenastand.ServerID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "server")))
			case 1:
				if host.Check(request(1)) == nil && host.Acquire(context.Background(), request(1)) == nil {
					host.Release(request(1), rapid.Bool().Draw(t, "responded"))
				}
			default:
				exchange(rapid.SampledFrom(hosts).Draw(t, "from"), host)
			}
		}
		for range hosts {
			for _, from := range hosts {
				for _, to := range hosts {
					exchange(from, to)
				}
			}
		}
		for _, h := range hosts[1:] {
			require.Equal(t, hosts[0].Suspected(request(1)), h.Suspected(request(1)))
			require.Equal(t, hosts[0].Quarantined(), h.Quarantined())
		}
	})
}

// Guards against new evidence that older evidence displaces from the messages: a host
// learned of a crashing request only after it had crashed further servers.
func TestRecentEvidenceIsSentFirst(t *testing.T) {
	const known, recent, limit = 100, 2, 8
	clock := fake.NewClock()
	q := NewQuarantiner(Config{Clock: clock})
	for f := range known {
		recordCrash(q, request(f), "server-a")
		recordCrash(q, request(f), "server-b")
		clock.Advance(10 * time.Millisecond)
	}
	for f := range recent {
		recordCrash(q, request(known+f), "server-a")
		clock.Advance(10 * time.Millisecond)
	}
	sent := make(map[uint64]int)
	const messages = 2000
	for range messages {
		evidence := q.Evidence(limit)
		require.Len(t, evidence, limit)
		for _, e := range evidence {
			sent[e.Fingerprint]++
		}
	}
	for f := range recent {
		require.Equal(t, messages, sent[request(known+f).perCaller], "recent evidence is in each message")
	}
	require.Len(t, sent, 2*(known+recent), "older evidence is sent, too")
}

func TestRequestThatCrashesServersIsRefusedAtTheLimit(t *testing.T) {
	q := NewQuarantiner(Config{Clock: fake.NewClock()})
	crashed := 0
	for i := range 10 {
		if q.Acquire(context.Background(), request(1)) != nil {
			continue
		}
		crashed++
		recordCrash(q, request(1), verbenastand.ServerID(fmt.Sprint("server-", i)))
		q.Release(request(1), false)
	}
	require.Equal(t, CrashLimit, crashed)
}

func TestRequestWithResponseIsNoLongerSuspected(t *testing.T) {
	clock := fake.NewClock()
	q := NewQuarantiner(Config{Clock: clock})
	recordCrash(q, request(1), "server-a")
	require.NoError(t, q.Acquire(context.Background(), request(1)))
	q.Release(request(1), true)
	recordCrash(q, request(1), "server-b")
	require.NoError(t, q.Acquire(context.Background(), request(1)), "one crash since the response")
	q.Release(request(1), false)
	recordCrash(q, request(1), "server-c")
	err := q.Acquire(context.Background(), request(1))
	require.Equal(t, verbenastand.NotRun, verbenastand.VerdictOf(err))
	clock.Advance(DefaultLifetime + time.Second)
	require.NoError(t, q.Acquire(context.Background(), request(1)), "evidence expires")
}

func TestAttemptsOfASuspectRunOneAtATime(t *testing.T) {
	q := NewQuarantiner(Config{Clock: fake.NewClock()})
	recordCrash(q, request(1), "server-a")
	require.NoError(t, q.Acquire(context.Background(), request(1)))
	acquired := make(chan error)
	go func() { acquired <- q.Acquire(context.Background(), request(1)) }()
	select {
	case err := <-acquired:
		require.FailNow(t, "two attempts of a suspected request ran at once", err)
	case <-time.After(20 * time.Millisecond):
	}
	q.Release(request(1), true)
	require.NoError(t, <-acquired)
}

// recordCrash records that a server crashed while it ran a request.
func recordCrash(q *Quarantiner, f Fingerprint, server verbenastand.ServerID) {
	q.RecordLoss(f, verbenastand.NewLoss(verbenastand.LossConfig{Server: server, At: q.config.Clock.Now()}), verbenastand.ProcessEnded)
}
