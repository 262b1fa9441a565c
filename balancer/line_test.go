package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/verbenastand/verbenastand/internal/fake"
)

// BenchmarkLine measures the order of a full queue of many callers.
func BenchmarkLine(b *testing.B) {
	now := fake.NewClock().Now()
	q := newQueue(true)
	for i := range maxQueue {
		caller := fmt.Sprintf("10.0.0.%d", i%40)
		q.usage.record(caller, time.Duration(i), now)
		by := now.Add(time.Duration(i*7919%1000) * time.Millisecond)
		q.waiters = append(q.waiters, &waiter{query: Query{Route: testRoute, Caller: caller, InTimeBy: by, StartBy: by}, arrived: now})
	}
	b.Run("line", func(b *testing.B) {
		for b.Loop() {
			l := q.line(workOf, now)
			l.ahead(q.waiters[0], q.waiters[0].class(now))
		}
	})
	b.Run("first", func(b *testing.B) {
		for b.Loop() {
			q.first(now)
		}
	})
}
