package recorder

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/carrier"
	"github.com/verbenastand/verbenastand/follower"
	"github.com/verbenastand/verbenastand/meter"
)

// stuck is an output that takes nothing.
type stuck struct{ release chan struct{} }

func (s stuck) HandleLog(*log.Entry) error {
	<-s.release
	return nil
}

func TestAFloodNeitherBlocksNorGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := stuck{make(chan struct{})}
		h := NewHandler(out)
		logger := &log.Logger{Level: log.InfoLevel, Handler: h}
		began := time.Now()
		const lines = 100_000
		for i := range lines {
			logger.WithField("i", i).Info("flood")
			if i%1000 == 0 {
				time.Sleep(time.Second)
			}
		}
		require.Equal(t, lines/1000*time.Second, time.Since(began))
		require.LessOrEqual(t, len(h.queue), queueLength)
		require.GreaterOrEqual(t, h.Dropped(), int64(lines-queueLength-lineRate*101))
		close(out.release)
		h.Close()
	})
}

func TestARateOfItsOwnForEachEvent(t *testing.T) {
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

func record(t *testing.T, share float64, act func(r *Recorder)) []map[string]any {
	var out bytes.Buffer
	logger := &log.Logger{Level: log.InfoLevel, Handler: jsonlog.New(&out)}
	act(NewRecorder(Config{Log: logger, Meter: meter.NewMeter(), Share: share}))
	var lines []map[string]any
	for line := range strings.Lines(out.String()) {
		var m map[string]any
		require.NoError(t, json.Unmarshal([]byte(line), &m))
		lines = append(lines, m)
	}
	return lines
}

func TestWhatIsLogged(t *testing.T) {
	cases := []struct {
		name  string
		share float64
		act   func(r *Recorder)
		want  []string
	}{
		{"nothing of an answer in time", 0, func(r *Recorder) { r.Answered(carrier.Event{ID: "1", Status: 200}) }, nil},
		{"an answer in time that is sampled", 1, func(r *Recorder) { r.Answered(carrier.Event{ID: "1", Status: 200}) }, []string{eventAnswered}},
		{"a late answer", 0, func(r *Recorder) { r.Answered(carrier.Event{ID: "1", Status: 200, Late: true}) }, []string{eventAnswered}},
		{"an error of a server", 0, func(r *Recorder) { r.Answered(carrier.Event{ID: "1", Status: 500}) }, []string{eventAnswered}},
		{"a refusal", 0, func(r *Recorder) {
			r.Answered(carrier.Event{ID: "1", Status: 503, Refused: true, Verdict: verbenastand.NotRun, Reason: verbenastand.ReasonOverload})
		}, []string{eventRefused}},
		{"nothing of a first attempt that went well", 0, func(r *Recorder) { r.Ended(carrier.Event{Attempt: 1, Result: balancer.Succeeded}) }, nil},
		{"a second attempt", 0, func(r *Recorder) { r.Ended(carrier.Event{Attempt: 2, Result: balancer.Succeeded}) }, []string{eventAttempt}},
		{"a failed attempt", 0, func(r *Recorder) {
			r.Ended(carrier.Event{Attempt: 1, Result: balancer.Lost, Err: errors.New("reset")})
		}, []string{eventAttempt}},
		{"a belief", 0, func(r *Recorder) { r.Belief(verbenastand.Registration{}, "joined") }, []string{eventBelief}},
		{"an event of the store", 0, func(r *Recorder) { r.Store(follower.Event{Name: "storeReturned"}) }, []string{eventStore}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var got []string
			for _, line := range record(t, tc.share, tc.act) {
				got = append(got, line["message"].(string))
			}
			require.Equal(t, tc.want, got)
		})
	}
}

func BenchmarkLine(b *testing.B) {
	h := NewHandler(jsonlog.New(&bytes.Buffer{}))
	r := NewRecorder(Config{Log: &log.Logger{Level: log.InfoLevel, Handler: h}, Meter: meter.NewMeter()})
	e := carrier.Event{ID: "1", Attempt: 1, Result: balancer.Lost, Err: errors.New("reset")}
	for b.Loop() {
		r.Ended(e)
	}
}
