package recorder

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/acceptor"
	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/carrier"
	"github.com/verbenastand/verbenastand/follower"
	"github.com/verbenastand/verbenastand/limiter"
	"github.com/verbenastand/verbenastand/meter"
	"github.com/verbenastand/verbenastand/quarantiner"
)

// blockedHandler is a log handler that blocks until it is released.
type blockedHandler struct{ release chan struct{} }

func (h blockedHandler) HandleLog(*log.Entry) error {
	<-h.release
	return nil
}

func TestLogFloodNeitherBlocksNorFillsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedHandler{make(chan struct{})}
		h := NewHandler(out)
		logger := &log.Logger{Level: log.InfoLevel, Handler: h}
		started := time.Now()
		const lines = 100_000
		for i := range lines {
			logger.WithField("i", i).Info("flood")
			if i%1000 == 0 {
				time.Sleep(time.Second)
			}
		}
		require.Equal(t, lines/1000*time.Second, time.Since(started))
		require.LessOrEqual(t, len(h.queue), queueLength)
		require.GreaterOrEqual(t, h.Dropped(), int64(lines-queueLength-lineRate*101))
		close(out.release)
		h.Close()
	})
}

// Guards against a process that outlives its grace period because nobody reads what it logs.
func TestCloseDoesNotWaitForAStalledReader(t *testing.T) {
	for _, lines := range []int{1, 100 * lineRate} {
		synctest.Test(t, func(t *testing.T) {
			out := blockedHandler{make(chan struct{})}
			h := NewHandler(out)
			for i := range lines {
				_ = h.HandleLog(&log.Entry{Message: "line" + strconv.Itoa(i%100)})
			}
			started := time.Now()
			closed := make(chan struct{})
			go func() {
				h.Close()
				close(closed)
			}()
			select {
			case <-closed:
			case <-time.After(time.Minute):
			}
			took := time.Since(started)
			close(out.release)
			<-closed
			h.Close()
			require.LessOrEqual(t, took, closeTimeout)
		})
	}
}

func TestEachEventHasItsOwnRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		h := NewHandler(jsonlog.New(&out))
		logger := &log.Logger{Level: log.InfoLevel, Handler: h}
		for range 1000 {
			logger.Info("frequent")
		}
		logger.Info("rare")
		h.Close()
		require.Equal(t, 1, strings.Count(out.String(), `"rare"`))
		require.Equal(t, lineRate, strings.Count(out.String(), `"frequent"`))
	})
}

func record(t *testing.T, share float64, do func(r *Recorder)) []map[string]any {
	var out bytes.Buffer
	logger := &log.Logger{Level: log.InfoLevel, Handler: jsonlog.New(&out)}
	do(NewRecorder(Config{Log: logger, Meter: meter.NewMeter(), Share: share}))
	var lines []map[string]any
	for line := range strings.Lines(out.String()) {
		var m map[string]any
		require.NoError(t, json.Unmarshal([]byte(line), &m))
		lines = append(lines, m)
	}
	return lines
}

func TestLoggedEvents(t *testing.T) {
	cases := []struct {
		name  string
		share float64
		do    func(r *Recorder)
		want  []string
	}{
		{"a response in time is not logged", 0, func(r *Recorder) { r.RequestEnded(carrier.Event{ID: "1", Status: 200}) }, nil},
		{"a response in time that is sampled", 1, func(r *Recorder) { r.RequestEnded(carrier.Event{ID: "1", Status: 200}) }, []string{eventAnswered}},
		{"a message that is no request", 0, func(r *Recorder) { r.MessageRefused(acceptor.Refusal{Fault: acceptor.FaultMalformed}) }, []string{eventMessage}},
		{"a connection that is cut", 0, func(r *Recorder) { r.ConnectionCut(acceptor.Cut{Reason: acceptor.CutCallerLeft, Pending: 2}) }, []string{eventCut}},
		{"a late response", 0, func(r *Recorder) { r.RequestEnded(carrier.Event{ID: "1", Status: 200, Late: true}) }, []string{eventAnswered}},
		{"a server error", 0, func(r *Recorder) { r.RequestEnded(carrier.Event{ID: "1", Status: 500}) }, []string{eventAnswered}},
		{"a refusal", 0, func(r *Recorder) {
			r.RequestEnded(carrier.Event{ID: "1", Status: 503, Refused: true, Verdict: verbenastand.NotRun, Reason: verbenastand.ReasonOverload})
		}, []string{eventRefused}},
		{"a successful first attempt is not logged", 0, func(r *Recorder) { r.AttemptEnded(carrier.Event{Attempt: 1, Result: balancer.Succeeded}) }, nil},
		{"a second attempt", 0, func(r *Recorder) { r.AttemptEnded(carrier.Event{Attempt: 2, Result: balancer.Succeeded}) }, []string{eventAttempt}},
		{"a failed attempt", 0, func(r *Recorder) {
			r.AttemptEnded(carrier.Event{Attempt: 1, Result: balancer.ConnectionLost, Err: errors.New("reset")})
		}, []string{eventAttempt}},
		{"a server that joins", 0, func(r *Recorder) { r.ServerChanged(verbenastand.Registration{}, "joined") }, []string{eventServerState}},
		{"evidence of another host", 0, func(r *Recorder) {
			r.EvidenceChanged(quarantiner.Change{Kind: quarantiner.Learned, Fingerprint: "07", Crashes: 1})
		}, []string{eventEvidence}},
		{"a limit that a server names", 0, func(r *Recorder) { r.LimitChanged(limiter.Change{Rate: 3}) }, []string{eventLimit}},
		{"a limit that can't be read", 0, func(r *Recorder) {
			r.LimitChanged(limiter.Change{Kind: limiter.Malformed, Err: errors.New("malformed")})
		}, []string{eventLimit}},
		{"a server that is cold", 0, func(r *Recorder) { r.WarmupChanged(limiter.WarmupChange{Remaining: time.Second}) }, []string{eventWarmup}},
		{"a suspected request", 0, func(r *Recorder) {
			r.RequestSuspected(quarantiner.Suspect{Server: "s", Target: strings.Repeat("/", 1<<16)})
		}, []string{eventSuspected}},
		{"a panic", 0, func(r *Recorder) { r.Panicked("1", strings.Repeat("p", 1<<16), make([]byte, 1<<16)) }, []string{eventPanic}},
		{"an event of the store", 0, func(r *Recorder) { r.Store(follower.Event{Name: "storeReturned"}) }, []string{eventStore}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var got []string
			for _, line := range record(t, tc.share, tc.do) {
				got = append(got, line["message"].(string))
			}
			require.Equal(t, tc.want, got)
		})
	}
}

// Guards against lines that hold what callers and servers send, up to whole headers, while they
// wait to be written.
func TestLinesAreShort(t *testing.T) {
	long := strings.Repeat("x", 16<<10)
	event := carrier.Event{ID: long, URI: long, Caller: "c", Attempt: 2, Err: errors.New(long)}
	cases := []struct {
		name string
		do   func(*Recorder)
	}{
		{"attempt", func(r *Recorder) { r.AttemptEnded(event) }},
		{"response", func(r *Recorder) { r.RequestEnded(event) }},
		{"refusal", func(r *Recorder) {
			e := event
			e.Refused, e.Reason = true, verbenastand.ReasonQuarantined
			r.RequestEnded(e)
		}},
		{"delegated", func(r *Recorder) { r.Delegated(event) }},
		{"message", func(r *Recorder) { r.MessageRefused(acceptor.Refusal{Err: errors.New(long)}) }},
		{"cut", func(r *Recorder) { r.ConnectionCut(acceptor.Cut{Err: errors.New(long)}) }},
		{"suspect", func(r *Recorder) { r.RequestSuspected(quarantiner.Suspect{RequestID: long, Target: long}) }},
		{"lost connection", func(r *Recorder) { r.ConnectionLost(quarantiner.Suspect{RequestID: long, Target: long}) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			lines := record(t, 1, tc.do)
			require.NotEmpty(t, lines)
			data, err := json.Marshal(lines)
			require.NoError(t, err)
			require.Less(t, len(data), 4<<10)
		})
	}
}

// TestRefusedCallersAreNamed guards against overload whose lines do not show which callers use the servers.
func TestRefusedCallersAreNamed(t *testing.T) {
	lines := record(t, 0, func(r *Recorder) {
		r.RequestEnded(carrier.Event{
			ID: "1", Status: 503, Refused: true, Reason: verbenastand.ReasonOverload, Caller: "10.0.0.7:4000", CallerUsage: 1500 * time.Millisecond,
		})
	})
	require.Len(t, lines, 1)
	fields, ok := lines[0]["fields"].(map[string]any)
	require.True(t, ok)
	require.Equal(t, "10.0.0.7:4000", fields["caller"])
	require.EqualValues(t, 1500, fields["callerUsageMs"])
}

// Guards against a second attempt whose line does not show whether it is a retry or a hedge.
func TestAttemptLinesNameHedges(t *testing.T) {
	for _, hedge := range []bool{false, true} {
		lines := record(t, 0, func(r *Recorder) { r.AttemptEnded(carrier.Event{Attempt: 2, Hedge: hedge, Result: balancer.Succeeded}) })
		require.Len(t, lines, 1)
		require.Equal(t, hedge, lines[0]["fields"].(map[string]any)["hedge"])
	}
}

func BenchmarkLine(b *testing.B) {
	h := NewHandler(jsonlog.New(&bytes.Buffer{}))
	r := NewRecorder(Config{Log: &log.Logger{Level: log.InfoLevel, Handler: h}, Meter: meter.NewMeter()})
	e := carrier.Event{ID: "1", Attempt: 1, Result: balancer.ConnectionLost, Err: errors.New("reset")}
	for b.Loop() {
		r.AttemptEnded(e)
	}
}
