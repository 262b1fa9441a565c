package timer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCallbacksRunOncePerPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewService(Config{})
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		fast, slow, pauses := 0, 0, 0
		s.Every(10*time.Millisecond, func(time.Time) { fast++ })
		stop := s.Every(time.Second, func(time.Time) { slow++ })
		s.OnPause(func(time.Duration) { pauses++ })
		time.Sleep(10*time.Second + 5*time.Millisecond)
		synctest.Wait()
		require.InDelta(t, 1000, fast, 20)
		require.InDelta(t, 10, slow, 1)
		require.Zero(t, pauses)
		stop()
		before := slow
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Equal(t, before, slow)
		cancel()
		synctest.Wait()
	})
}

// A slow callback delays the others, as a pause of the process does. Afterwards
// they must run once, not once for each missed period.
func TestMissedPeriodsAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewService(Config{})
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		calls := 0
		s.Every(10*time.Millisecond, func(time.Time) {
			calls++
			if calls == 1 {
				time.Sleep(time.Minute)
			}
		})
		time.Sleep(time.Minute + 35*time.Millisecond)
		synctest.Wait()
		require.LessOrEqual(t, calls, 4)
		cancel()
		synctest.Wait()
	})
}

// The monotonic clock stops while the machine is suspended, so the timer does not
// fire late. The boot clock must reveal the suspension.
func TestSuspensionOfTheMachineIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64
		start := time.Now()
		s := NewService(Config{BootClock: func() time.Duration { return time.Since(start) + time.Duration(suspended.Load()) }})
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		var gaps []time.Duration
		s.OnPause(func(gap time.Duration) { gaps = append(gaps, gap) })
		time.Sleep(time.Second)
		suspended.Store(int64(5 * time.Second))
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, []time.Duration{5 * time.Second}, gaps)
		cancel()
		synctest.Wait()
	})
}
