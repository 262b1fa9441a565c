package quarantiner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

// lose records the loss of a connection to a server process.
func lose(q *Quarantiner, f Fingerprint, server string, startTime int64, state verbenastand.ProcessState) bool {
	return q.RecordLoss(f, verbenastand.NewLoss(verbenastand.LossConfig{
		Server: verbenastand.ServerID(server), Service: "svc", Address: "10.0.0.1:80", StartTime: startTime, At: q.config.Clock.Now(),
	}), state)
}

func finding(state verbenastand.ProcessState) Examine {
	return func(context.Context, verbenastand.Loss) verbenastand.ProcessState { return state }
}

// Guards against crashes of a server that starts again under its ID and is counted once
// (issue 29, BUDGET).
func TestProcessesOfOneServerAreDistinguished(t *testing.T) {
	q := NewQuarantiner(Config{Clock: fake.NewClock()})
	require.True(t, lose(q, request(1), "server-a", 1, verbenastand.ProcessEnded))
	require.False(t, lose(q, request(1), "server-a", 1, verbenastand.ProcessEnded), "the same process")
	require.NoError(t, q.Check(request(1)))
	require.True(t, lose(q, request(1), "server-a", 2, verbenastand.ProcessEnded))
	require.Error(t, q.Check(request(1)))
}

// Guards against a crash that stays unproved because another connection to the server was lost
// before anything was known of it (issue 29, BUDGET).
func TestALaterFindingAboutOneCrashHolds(t *testing.T) {
	q := NewQuarantiner(Config{Clock: fake.NewClock()})
	for _, server := range []string{"server-a", "server-b"} {
		require.True(t, lose(q, request(1), server, 1, verbenastand.ProcessUnknown))
		require.True(t, lose(q, request(1), server, 1, verbenastand.ProcessEnded))
		require.False(t, lose(q, request(1), server, 1, verbenastand.ProcessUnknown))
	}
	require.Error(t, q.Check(request(1)))
}

// Guards against findings that get lost among the losses of many hosts: each has one of its own
// for every server that it was cut off from (issue 29, BUDGET).
func TestLossesOfManyHostsKeepTheirFindings(t *testing.T) {
	const hosts, servers = 40, 8
	clock := fake.NewClock()
	fleet := make([]*Quarantiner, hosts)
	for i := range fleet {
		fleet[i] = NewQuarantiner(Config{Clock: clock})
		for s := range servers {
			lose(fleet[i], request(1), fmt.Sprint("server-", s), 1, verbenastand.ProcessUnknown)
		}
	}
	for range 3 {
		for i := range fleet {
			exchange(fleet[i], fleet[(i+1)%hosts])
		}
	}
	require.NoError(t, fleet[0].Confirm(context.Background(), request(1), finding(verbenastand.ProcessRunning)))
	for _, other := range fleet[1:] {
		exchange(other, fleet[0])
		require.False(t, fleet[0].PossiblySuspected(request(1)))
	}
	require.Len(t, fleet[0].suspects[request(1).perCaller].losses, servers)
}

// Guards against a request that is refused, or sent on, because of losses about which
// nothing is known (issue 29, BUDGET).
func TestUnprovedCrashesAreExaminedBeforeARequestIsSent(t *testing.T) {
	cases := []struct {
		name     string
		found    verbenastand.ProcessState
		refused  bool
		crashes  int
		examined int
	}{
		{"ended", verbenastand.ProcessEnded, true, 2, 2},
		{"running", verbenastand.ProcessRunning, false, 0, 2},
		{"nothing responds", verbenastand.ProcessUnknown, true, 0, 2},
		{"a process responds under the ID", verbenastand.ProcessResponding, true, 0, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			q := NewQuarantiner(Config{Clock: fake.NewClock()})
			var examined atomic.Int64
			examine := func(context.Context, verbenastand.Loss) verbenastand.ProcessState {
				examined.Add(1)
				return tc.found
			}
			lose(q, request(1), "server-a", 1, verbenastand.ProcessUnknown)
			require.NoError(t, q.Confirm(context.Background(), request(1), examine))
			require.Zero(t, examined.Load(), "one loss does no harm")
			lose(q, request(1), "server-b", 1, verbenastand.ProcessUnknown)
			require.NoError(t, q.Check(request(1)), "nothing is proved")
			require.False(t, q.Suspected(request(1)))
			require.True(t, q.PossiblySuspected(request(1)))
			err := q.Confirm(context.Background(), request(1), examine)
			require.Equal(t, tc.refused, err != nil)
			require.EqualValues(t, tc.examined, examined.Load())
			require.Equal(t, tc.crashes == 2, q.Check(request(1)) != nil)
		})
	}
}

// Guards against harmless requests that stay refused because a host that was cut off from
// servers took them for crashed (issue 29, BUDGET).
func TestARunningServerRefutesACrash(t *testing.T) {
	clock := fake.NewClock()
	cutOff, other := NewQuarantiner(Config{Clock: clock}), NewQuarantiner(Config{Clock: clock})
	lose(cutOff, request(1), "server-a", 1, verbenastand.ProcessEnded)
	lose(cutOff, request(1), "server-b", 1, verbenastand.ProcessEnded)
	cutOff.Reconsider(context.Background(), request(1), finding(verbenastand.ProcessEnded))
	require.Error(t, cutOff.Check(request(1)))
	exchange(cutOff, other)
	require.Error(t, other.Check(request(1)))
	other.Reconsider(context.Background(), request(1), finding(verbenastand.ProcessRunning))
	require.NoError(t, other.Check(request(1)))
	exchange(cutOff, other)
	require.NoError(t, other.Check(request(1)), "the finding outlives what the other host believed")
	exchange(other, cutOff)
	require.NoError(t, cutOff.Check(request(1)))
	clock.Advance(2 * restartTime)
	lose(cutOff, request(1), "server-a", 1, verbenastand.ProcessEnded)
	lose(cutOff, request(1), "server-b", 1, verbenastand.ProcessEnded)
	require.Error(t, cutOff.Check(request(1)), "the servers have crashed later")
}

// Checks that a process that goes on responding under its ID counts as running once a later
// one would be registered, however long that takes in a deployment, and that its callers are
// told to come back by then.
func TestAProcessThatGoesOnRespondingIsRunning(t *testing.T) {
	for _, registrationTime := range []time.Duration{500 * time.Millisecond, DefaultRegistrationTime, 20 * time.Second} {
		clock := fake.NewClock()
		q := NewQuarantiner(Config{Clock: clock, RegistrationTime: registrationTime})
		lose(q, request(1), "server-a", 1, verbenastand.ProcessEnded)
		lose(q, request(1), "server-b", 1, verbenastand.ProcessEnded)
		clock.Advance(examinationInterval)
		for waited := time.Duration(0); waited < registrationTime; waited += 100 * time.Millisecond {
			q.Reconsider(context.Background(), request(1), finding(verbenastand.ProcessResponding))
			var refusal *verbenastand.RequestError
			require.ErrorAs(t, q.Check(request(1)), &refusal)
			require.Equal(t, registrationTime, refusal.RetryAfter())
			clock.Advance(100 * time.Millisecond)
		}
		q.Reconsider(context.Background(), request(1), finding(verbenastand.ProcessResponding))
		require.NoError(t, q.Check(request(1)))
	}
}

// Checks that many copies of a request cause one examination of each server at a time, whose
// end all of them await, and that a refused request is not examined again at once.
func TestAServerIsExaminedOnceAtATime(t *testing.T) {
	clock := fake.NewClock()
	q := NewQuarantiner(Config{Clock: clock})
	lose(q, request(1), "server-a", 1, verbenastand.ProcessUnknown)
	lose(q, request(1), "server-b", 1, verbenastand.ProcessUnknown)
	var examined atomic.Int64
	release := make(chan struct{})
	slow := func(context.Context, verbenastand.Loss) verbenastand.ProcessState {
		examined.Add(1)
		<-release
		return verbenastand.ProcessRunning
	}
	var copies sync.WaitGroup
	var refused atomic.Int64
	for range 20 {
		copies.Go(func() {
			if q.Confirm(context.Background(), request(1), slow) != nil {
				refused.Add(1)
			}
		})
	}
	time.Sleep(20 * time.Millisecond)
	close(release)
	copies.Wait()
	require.EqualValues(t, 2, examined.Load())
	require.Zero(t, refused.Load())

	examined.Store(0)
	lose(q, request(2), "server-a", 1, verbenastand.ProcessEnded)
	lose(q, request(2), "server-b", 1, verbenastand.ProcessEnded)
	require.Error(t, q.Confirm(context.Background(), request(2), finding(verbenastand.ProcessRunning)), "what is proved is not examined again")
	count := func(context.Context, verbenastand.Loss) verbenastand.ProcessState {
		examined.Add(1)
		return verbenastand.ProcessEnded
	}
	for range 100 {
		clock.Advance(100 * time.Millisecond)
		q.Reconsider(context.Background(), request(2), count)
	}
	require.LessOrEqual(t, examined.Load(), int64(2*10*time.Second/examinationInterval))
}

// Guards against findings that depend on the order in which messages arrive.
func TestFindingsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := fake.NewClock()
		hosts := []*Quarantiner{NewQuarantiner(Config{Clock: clock}), NewQuarantiner(Config{Clock: clock}), NewQuarantiner(Config{Clock: clock})}
		states := []verbenastand.ProcessState{verbenastand.ProcessUnknown, verbenastand.ProcessEnded}
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			h := rapid.SampledFrom(hosts).Draw(t, "host")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				lose(h, request(1), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server"), int64(rapid.IntRange(1, 2).Draw(t, "start")), rapid.SampledFrom(states).Draw(t, "state"))
			case 1:
				found := rapid.SampledFrom([]verbenastand.ProcessState{verbenastand.ProcessUnknown, verbenastand.ProcessEnded, verbenastand.ProcessRunning}).Draw(t, "found")
				_ = h.Confirm(context.Background(), request(1), finding(found))
			case 2:
				clock.Advance(examinationInterval)
				h.Reconsider(context.Background(), request(1), finding(verbenastand.ProcessRunning))
			default:
				exchange(rapid.SampledFrom(hosts).Draw(t, "from"), h)
			}
		}
		for range 20 {
			for _, from := range hosts {
				for _, to := range hosts {
					exchange(from, to)
				}
			}
		}
		for _, h := range hosts[1:] {
			require.Equal(t, hosts[0].Quarantined(), h.Quarantined())
			require.Equal(t, hosts[0].PossiblySuspected(request(1)), h.PossiblySuspected(request(1)))
			require.Equal(t, hosts[0].Suspected(request(1)), h.Suspected(request(1)))
		}
	})
}

// earlierEvidence is Evidence as the landing before issue 29 read and wrote it.
type earlierEvidence struct {
	Fingerprint uint64                  `cbor:"f"`
	Scope       Scope                   `cbor:"c,omitempty"`
	Servers     []verbenastand.ServerID `cbor:"s"`
	Generation  uint32                  `cbor:"g,omitempty"`
	Remaining   time.Duration           `cbor:"r,omitempty"`
}

// Checks that hosts of the landing before understand which servers have crashed, and that
// what they send counts each crash once.
func TestEvidenceIsExchangedWithEarlierVersions(t *testing.T) {
	clock := fake.NewClock()
	q := NewQuarantiner(Config{Clock: clock})
	lose(q, request(1), "server-a", 1, verbenastand.ProcessEnded)
	lose(q, request(1), "server-b", 1, verbenastand.ProcessUnknown)
	var earlier []earlierEvidence
	for _, e := range q.Evidence(MaxSuspects) {
		data, err := cbor.Marshal(e)
		require.NoError(t, err)
		var read earlierEvidence
		require.NoError(t, cbor.Unmarshal(data, &read))
		require.Len(t, read.Servers, 1, "one has crashed")
		earlier = append(earlier, read)
	}
	clock.Advance(5 * restartTime)
	relay := func(to *Quarantiner, more ...verbenastand.ServerID) {
		for _, e := range earlier {
			e.Servers = append(e.Servers, more...)
			data, err := cbor.Marshal(e)
			require.NoError(t, err)
			var read Evidence
			require.NoError(t, cbor.Unmarshal(data, &read))
			to.Merge(read)
		}
	}
	relay(q)
	require.NoError(t, q.Check(request(1)), "known already")
	other := NewQuarantiner(Config{Clock: clock})
	relay(other)
	exchange(q, other)
	exchange(other, q)
	require.NoError(t, other.Check(request(1)))
	require.NoError(t, q.Check(request(1)))
	relay(other, "server-a")
	require.NoError(t, other.Check(request(1)), "a host of the earlier version saw the same crash")
	relay(other, "server-c")
	require.Error(t, other.Check(request(1)), "a host of the earlier version saw another crash")
}

// Checks that the names for earlier versions count for nothing beside the losses, of which a
// message holds only some.
func TestNamesForEarlierVersionsAreNoLosses(t *testing.T) {
	q := NewQuarantiner(Config{Clock: fake.NewClock()})
	q.Merge(Evidence{
		Fingerprint: request(1).perCaller, Servers: []verbenastand.ServerID{"server-a", "server-b", "server-c"},
		Losses: []LossRecord{{Server: "server-a", Number: 1, State: verbenastand.ProcessEnded}},
	})
	require.NoError(t, q.Check(request(1)))
}

// Guards against findings that a loss of which nothing is known displaces.
func TestUnknownLossesDisplaceNoFindings(t *testing.T) {
	q := NewQuarantiner(Config{Clock: fake.NewClock()})
	merge := func(number int, state verbenastand.ProcessState) {
		q.Merge(Evidence{Fingerprint: request(1).allCallers, Scope: AllCallers, Losses: []LossRecord{
			{Server: verbenastand.ServerID(fmt.Sprint("server-", number)), Number: uint64(number), State: state},
		}})
	}
	for i := range maxLosses {
		merge(i, verbenastand.ProcessRunning)
	}
	for i := range maxLosses {
		merge(maxLosses+i, verbenastand.ProcessUnknown)
		merge(i, verbenastand.ProcessUnknown)
	}
	require.False(t, q.PossiblySuspected(request(1)))
}

// Guards against a finding of a later version that can't be refuted.
func TestAnUnknownFindingIsExamined(t *testing.T) {
	q := NewQuarantiner(Config{Clock: fake.NewClock()})
	for i := range SharedCrashLimit {
		q.Merge(Evidence{Fingerprint: request(1).allCallers, Scope: AllCallers, Losses: []LossRecord{
			{Server: verbenastand.ServerID(fmt.Sprint("server-", i)), Number: uint64(i), State: verbenastand.ProcessRunning + 1},
		}})
	}
	require.NoError(t, q.Check(request(1)))
	require.NoError(t, q.Confirm(context.Background(), request(1), finding(verbenastand.ProcessRunning)))
}

// Checks that evidence stays bounded, and that losses which change nothing make room for
// those that do.
func TestLossesAreBounded(t *testing.T) {
	clock := fake.NewClock()
	q := NewQuarantiner(Config{Clock: clock})
	for i := range 100 {
		q.Merge(Evidence{Fingerprint: request(1).allCallers, Scope: AllCallers, Losses: []LossRecord{{Server: "server-a", Number: uint64(i), State: 99}}})
	}
	require.NoError(t, q.Check(request(1)), "one process")
	for i := range SharedCrashLimit {
		q.Merge(Evidence{Fingerprint: request(1).allCallers, Scope: AllCallers, Losses: []LossRecord{
			{Server: verbenastand.ServerID(fmt.Sprint("server-b", i)), Number: uint64(1000 + i), State: verbenastand.ProcessEnded},
		}})
	}
	require.Error(t, q.Check(request(1)))
	require.LessOrEqual(t, len(q.suspects[request(1).allCallers].losses), maxLosses)
	for i := range MaxSuspects {
		lose(q, request(i), "server-c", 1, verbenastand.ProcessUnknown)
	}
	require.LessOrEqual(t, len(q.suspects), MaxSuspects/2+1)
	require.True(t, lose(q, request(MaxSuspects), "server-d", 1, verbenastand.ProcessEnded), "there is room for a crash")
}
