package deduplicator

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

var instance = verbenastand.NewInstance("host-1", 7)

func parse(t require.TestingT, text string) Key {
	key, err := ParseKey(text)
	require.NoError(t, err)
	return key
}

// Guards against a key that is executed twice, or executed after a caller got
// notRun for it, when retries arrive at any time, the clock jumps forwards and
// backwards, expired outcomes are discarded and the host drains.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := fake.NewClock()
		d := NewDeduplicator(Config{Clock: clock, Instance: instance, Validity: 10 * time.Second, MaxKeys: 4, MaxBytes: 100})
		var issued []string
		attempts := make(map[string]int)
		notRun := make(map[string]bool)
		var running []*Attempt
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) { issued = append(issued, d.IssuePrefix()+fmt.Sprint(len(issued))) },
			"send": func(t *rapid.T) {
				if len(issued) == 0 {
					t.Skip()
				}
				text := rapid.SampledFrom(issued).Draw(t, "key")
				attempt, outcome := d.Begin(cancelled, parse(t, text), 1)
				if attempt == nil {
					if outcome.Verdict() == verbenastand.NotRun {
						notRun[text] = true
					}
					return
				}
				attempts[text]++
				if attempts[text] > 1 || notRun[text] {
					t.Fatalf("key %s begun %d times, reported as notRun: %t", text, attempts[text], notRun[text])
				}
				running = append(running, attempt)
			},
			"finish": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "attempt")
				running[i].Finish(NewResponse(200, nil, make([]byte, 30), true))
				running = append(running[:i], running[i+1:]...)
			},
			"time": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(-8, 12).Draw(t, "seconds")) * time.Second)
			},
			"sweep": func(t *rapid.T) { d.Sweep(clock.Now()) },
			"close": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "really") == 0 {
					d.Close()
				}
			},
		})
	})
}

func TestConcurrentRetriesShareOneAttempt(t *testing.T) {
	d := NewDeduplicator(Config{Clock: fake.NewClock(), Instance: instance})
	key := parse(t, d.IssuePrefix()+"n")
	var attempts atomic.Int32
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			attempt, outcome := d.Begin(context.Background(), key, 1)
			if attempt != nil {
				attempts.Add(1)
				attempt.Finish(NewResponse(201, nil, []byte("tin"), true))
				return
			}
			require.Equal(t, 201, outcome.Status())
		})
	}
	wg.Wait()
	require.EqualValues(t, 1, attempts.Load())
}

func TestRefusedKeysHaveAccurateVerdicts(t *testing.T) {
	clock := fake.NewClock()
	d := NewDeduplicator(Config{Clock: clock, Instance: instance, Validity: time.Minute})
	other := verbenastand.NewInstance("host-1", 8)
	cases := []struct {
		name    string
		key     string
		verdict verbenastand.Verdict
		reason  verbenastand.RefusalReason
	}{
		{"another instance of the same host", Prefix(other, clock.Now().Add(time.Minute)) + "n", verbenastand.MayHaveRun, verbenastand.ReasonKeyOwnerUnreachable},
		{"expired", Prefix(instance, clock.Now()) + "n", verbenastand.MayHaveRun, verbenastand.ReasonKeyExpired},
		{"expiry too far ahead", Prefix(instance, clock.Now().Add(time.Hour)) + "n", verbenastand.NotRun, verbenastand.ReasonBadKey},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			attempt, outcome := d.Begin(context.Background(), parse(t, c.key), 1)
			require.Nil(t, attempt)
			require.Equal(t, c.verdict, outcome.Verdict())
			require.Equal(t, c.reason, outcome.Err().Reason())
		})
	}
}

func TestKeyReusedForAnotherRequestIsRefused(t *testing.T) {
	d := NewDeduplicator(Config{Clock: fake.NewClock(), Instance: instance})
	key := parse(t, d.IssuePrefix()+"n")
	attempt, _ := d.Begin(context.Background(), key, 1)
	attempt.Finish(NewResponse(200, nil, nil, true))
	_, outcome := d.Begin(context.Background(), key, 2)
	require.Equal(t, verbenastand.ReasonKeyConflict, outcome.Err().Reason())
}

// Guards against unbounded memory when far more keys than MaxKeys arrive: the
// first refusals are stored and notRun, the others are mayHaveRun and use no
// memory.
func TestNumberOfStoredKeysIsBounded(t *testing.T) {
	const maxKeys = 10
	d := NewDeduplicator(Config{Clock: fake.NewClock(), Instance: instance, MaxKeys: maxKeys})
	verdicts := make(map[verbenastand.Verdict]int)
	for i := range 10 * maxKeys {
		attempt, outcome := d.Begin(context.Background(), parse(t, d.IssuePrefix()+fmt.Sprint(i)), 1)
		if attempt != nil {
			attempt.Finish(NewResponse(200, nil, nil, true))
			continue
		}
		require.Equal(t, verbenastand.ReasonOverload, outcome.Err().Reason())
		verdicts[outcome.Verdict()]++
	}
	require.Equal(t, map[verbenastand.Verdict]int{verbenastand.NotRun: maxKeys, verbenastand.MayHaveRun: 8 * maxKeys}, verdicts)
	require.Equal(t, 2*maxKeys, d.Len())
}

func FuzzParseKey(f *testing.F) {
	f.Add(Prefix(instance, time.Unix(1, 0)) + "nonce")
	f.Add("a~1.1.")
	f.Fuzz(func(t *testing.T, text string) {
		key, err := ParseKey(text)
		if err != nil {
			require.ErrorIs(t, err, ErrNotIssued)
			return
		}
		reparsed, err := ParseKey(Prefix(key.Instance(), key.Expiry()) + key.Nonce())
		require.NoError(t, err)
		require.Equal(t, key, reparsed)
	})
}

// BenchmarkKey measures a key from parsing to setting its outcome.
func BenchmarkKey(b *testing.B) {
	d := NewDeduplicator(Config{Clock: fake.NewClock(), Instance: instance, MaxKeys: 1 << 30})
	prefix := d.IssuePrefix()
	b.ReportAllocs()
	for i := range b.N {
		key, err := ParseKey(prefix + fmt.Sprint(i))
		if err != nil {
			b.Fatal(err)
		}
		attempt, _ := d.Begin(context.Background(), key, 1)
		attempt.Finish(NewResponse(200, nil, nil, true))
	}
}

// Guards against stored headers that take memory beyond the bound, which counted bodies only.
func TestStoredHeadersCount(t *testing.T) {
	clock := fake.NewClock()
	d := NewDeduplicator(Config{Clock: clock, Instance: instance, Validity: 10 * time.Second, MaxKeys: 4, MaxBytes: 10_000})
	header := make(http.Header)
	for i := range 100 {
		header.Set(fmt.Sprint("A", i), "")
	}
	attempt, _ := d.Begin(context.Background(), parse(t, d.IssuePrefix()+"1"), 1)
	require.NotNil(t, attempt)
	attempt.Finish(NewResponse(http.StatusOK, header, nil, true))
	attempt, outcome := d.Begin(context.Background(), parse(t, d.IssuePrefix()+"2"), 2)
	require.Nil(t, attempt)
	require.Equal(t, verbenastand.NotRun, outcome.Verdict())
	clock.Advance(time.Minute)
	d.Sweep(clock.Now())
	require.Zero(t, d.bytes)
}
