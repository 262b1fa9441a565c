package deduplicator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

// Guards against a successor that executes a key of a stopped instance again, or
// reports notRun for one that ran. The clocks of the two hosts differ by up to
// 100 s.
func TestSuccessorReturnsOutcomesOfItsPredecessor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock, successorClock := fake.NewClock(), fake.NewClock()
		successorClock.Advance(time.Duration(rapid.IntRange(-100, 100).Draw(t, "skew")) * time.Second)
		predecessor := NewDeduplicator(Config{Clock: clock, Instance: instance, Validity: 10 * time.Second})
		successor := NewDeduplicator(Config{Clock: successorClock, Instance: verbenastand.NewInstance("host-2", 9), Validity: 10 * time.Second})
		ran := make(map[string]bool)
		var keys []string
		for i := range rapid.IntRange(1, 12).Draw(t, "keys") {
			text := predecessor.IssuePrefix() + fmt.Sprint(i)
			keys = append(keys, text)
			if rapid.Bool().Draw(t, "sent") {
				attempt, _ := predecessor.Begin(context.Background(), parse(t, text), 1)
				if rapid.Bool().Draw(t, "answered") {
					ran[text] = true
					attempt.Finish(NewResponse(200, nil, []byte(text), true))
				} else {
					attempt.Finish(NewFailure(verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonOverload, nil)))
				}
			}
			clock.Advance(time.Duration(rapid.IntRange(0, 4).Draw(t, "seconds")) * time.Second)
			predecessor.Sweep(clock.Now())
		}
		predecessor.Close()
		tables, err := predecessor.Export()
		require.NoError(t, err)
		require.NoError(t, successor.Import(tables))
		require.NoError(t, successor.Import(tables), "importing the tables again")
		for _, text := range keys {
			attempt, outcome := successor.Begin(context.Background(), parse(t, text), 1)
			require.Nil(t, attempt)
			switch outcome.Verdict() {
			case verbenastand.NotRun:
				require.False(t, ran[text], "reported notRun for a key that ran")
			case verbenastand.Ran:
				require.Equal(t, text, string(outcome.Body()))
			}
		}
	})
}

func TestAttemptInterruptedByShutdownMayHaveRun(t *testing.T) {
	predecessor := NewDeduplicator(Config{Clock: fake.NewClock(), Instance: instance})
	successor := NewDeduplicator(Config{Clock: fake.NewClock(), Instance: verbenastand.NewInstance("host-2", 9)})
	text := predecessor.IssuePrefix() + "n"
	_, _ = predecessor.Begin(context.Background(), parse(t, text), 1)
	tables, err := predecessor.Export()
	require.NoError(t, err)
	require.NoError(t, successor.Import(tables))
	_, outcome := successor.Begin(context.Background(), parse(t, text), 1)
	require.Equal(t, verbenastand.MayHaveRun, outcome.Verdict())
	require.Error(t, successor.Import([]byte("not a table")))
}
