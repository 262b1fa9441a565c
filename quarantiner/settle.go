package quarantiner

import (
	"context"
	"sync"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Examine finds out what has become of a server process to which a connection was lost.
type Examine func(ctx context.Context, lost verbenastand.Loss) verbenastand.ProcessState

// confirmationRetryAfter is the Retry-After delay of requests that are refused because of
// crashes that are not proved.
const confirmationRetryAfter = registrationTime

// Reconsider examines the servers because of which the request would be refused, unless this
// host has done so recently: a host that was cut off from them may have taken them for
// crashed.
func (q *Quarantiner) Reconsider(ctx context.Context, f Fingerprint, examine Examine) {
	q.settle(ctx, f, examine, func(s *suspect, l *loss, now time.Time) bool {
		refused := s.crashes() >= s.scope.crashLimit()
		return refused && l.State == verbenastand.ProcessEnded && (now.Sub(l.examinedAt) >= examinationInterval || l.responds(now))
	})
}

// Confirm returns the error of a request that must not be sent to a server that is about
// to get it, because of the crashes that are proved and those that can't be ruled out. It
// examines the latter first.
func (q *Quarantiner) Confirm(ctx context.Context, f Fingerprint, examine Examine) error {
	q.settle(ctx, f, examine, func(s *suspect, l *loss, now time.Time) bool {
		return s.possibleCrashes() >= s.scope.crashLimit() && l.State < verbenastand.ProcessEnded
	})
	if q.suspectCount.Load() == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := q.refusalLocked(f); err != nil {
		return err
	}
	for _, s := range q.suspectsLocked(f) {
		if s.possibleCrashes() >= s.scope.crashLimit() {
			refusal := verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonQuarantined, nil)
			return refusal.WithRetryAfter(confirmationRetryAfter)
		}
	}
	return nil
}

// settle examines the losses that are due, each of them once at a time, and waits for those
// that another request examines.
func (q *Quarantiner) settle(ctx context.Context, f Fingerprint, examine Examine, due func(*suspect, *loss, time.Time) bool) {
	if q.suspectCount.Load() == 0 {
		return
	}
	var own, others []*loss
	started := make(map[uint64]bool)
	q.mu.Lock()
	now := q.config.Clock.Now()
	for _, s := range q.suspectsLocked(f) {
		for _, l := range s.losses {
			switch {
			case l.examined != nil:
				others = append(others, l)
			case started[l.Number] || due(s, l, now):
				started[l.Number] = true
				own = append(own, l)
			}
		}
	}
	examined := make(chan struct{})
	for _, l := range own {
		l.examined, l.examinedAt = examined, now
	}
	waits := make([]<-chan struct{}, 0, len(others))
	for _, l := range others {
		waits = append(waits, l.examined)
	}
	q.mu.Unlock()
	if len(own) > 0 {
		q.examineAll(ctx, f, own, examine)
		close(examined)
	}
	for _, wait := range waits {
		select {
		case <-wait:
		case <-ctx.Done():
		}
	}
}

// examineAll examines losses and stores the findings. The loss of one connection is part of
// the evidence of both scopes.
func (q *Quarantiner) examineAll(ctx context.Context, f Fingerprint, losses []*loss, examine Examine) {
	lost := make(map[uint64]verbenastand.Loss, len(losses))
	q.mu.Lock()
	for _, l := range losses {
		lost[l.Number] = l.loss()
	}
	q.mu.Unlock()
	var mu sync.Mutex
	states := make(map[uint64]verbenastand.ProcessState, len(lost))
	var pending sync.WaitGroup
	for number, l := range lost {
		pending.Go(func() {
			state := examine(ctx, l)
			mu.Lock()
			defer mu.Unlock()
			states[number] = state
		})
	}
	pending.Wait()
	q.mu.Lock()
	for _, l := range losses {
		l.examined = nil
	}
	changes := q.resolveLocked(f, states)
	q.mu.Unlock()
	q.notify(changes...)
}

// resolveLocked stores findings by the numbers of the losses.
func (q *Quarantiner) resolveLocked(f Fingerprint, states map[uint64]verbenastand.ProcessState) []Change {
	var changes []Change
	now := q.config.Clock.Now()
	for _, k := range []key{f.perCaller, f.allCallers} {
		s := q.findLocked(k)
		if s == nil {
			continue
		}
		kind, changed := Confirmed, false
		for _, l := range s.losses {
			state, found := states[l.Number]
			if !found || !l.resolve(state, now) {
				continue
			}
			changed = true
			if l.State == verbenastand.ProcessRunning {
				kind = Refuted
			}
		}
		if changed {
			s.changedAt = now
			changes = append(changes, Change{Kind: kind, Scope: s.scope, Fingerprint: formatHash(k), Crashes: s.crashes(), PossibleCrashes: s.possibleCrashes()})
		}
	}
	return changes
}
