package limiter

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// renewalStep is how much later another host must have seen the same limit to renew it.
// Each exchange makes a record seem younger by the time that it takes.
const renewalStep = time.Second

// Record is a limit as hosts exchange it.
type Record struct {
	Server    verbenastand.ServerID    `cbor:"s"`
	StartTime int64                    `cbor:"t,omitempty"`
	Rate      verbenastand.RequestRate `cbor:"r"`
	Lifted    bool                     `cbor:"l,omitempty"`
	// Age is the time since the response was received that the limit is from.
	Age time.Duration `cbor:"a"`
}

// Records returns up to count limits: half of them are those that changed last, so that
// changes spread at once, and the others are chosen at random.
func (l *Limiter) Records(count int) []Record {
	if l.count.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := make([]key, 0, len(l.limits))
	for k := range l.limits {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(l.limits[b].changedAt.Compare(l.limits[a].changedAt), cmp.Compare(a.server, b.server))
	})
	older := keys[min(count/2, len(keys)):]
	rand.Shuffle(len(older), func(i, j int) { older[i], older[j] = older[j], older[i] })
	now := l.config.Clock.Now()
	var records []Record
	for _, k := range keys[:min(count, len(keys))] {
		known := l.limits[k]
		records = append(records, Record{
			Server: k.server, StartTime: k.startTime, Rate: known.rate, Lifted: known.lifted, Age: now.Sub(known.observedAt),
		})
	}
	return records
}

// Merge applies a limit that another host has seen later than this one, and reports
// whether it was new.
func (l *Limiter) Merge(r Record) bool {
	rate := float64(r.Rate)
	if r.Age < 0 || r.Age > limitLifetime || !(rate >= 0) || math.IsInf(rate, 0) {
		return false
	}
	observedAt := l.config.Clock.Now().Add(-r.Age)
	p := verbenastand.ServerProcess{Server: r.Server, StartTime: r.StartTime}
	l.mu.Lock()
	kind, changed := l.mergeLocked(keyOf(p), r, observedAt)
	l.mu.Unlock()
	if changed {
		l.notify(Change{Kind: kind, Process: p, Rate: r.Rate, Age: r.Age, Learned: true})
	}
	return changed
}

func (l *Limiter) mergeLocked(k key, r Record, observedAt time.Time) (ChangeKind, bool) {
	known := l.limits[k]
	if known != nil && !observedAt.After(known.observedAt) {
		return Named, false
	}
	if known != nil && known.lifted == r.Lifted && known.rate == r.Rate && observedAt.Sub(known.observedAt) < renewalStep {
		return Named, false
	}
	if !r.Lifted {
		return l.setLocked(k, r.Rate, observedAt)
	}
	if known == nil || known.lifted {
		return Lifted, false
	}
	known.lifted, known.observedAt, known.changedAt = true, observedAt, l.config.Clock.Now()
	return Lifted, true
}
