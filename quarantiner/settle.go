package quarantiner

import (
	"context"
	"sync"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Examine finds out what has become of a server process to which a connection was lost.
type Examine func(ctx context.Context, lost verbenastand.Loss) verbenastand.ProcessState

// Reconsider examines the servers because of which the request would be refused, unless this
// host has done so recently: a host that was cut off from them may have taken them for
// crashed.
func (q *Quarantiner) Reconsider(ctx context.Context, f Fingerprint, examine Examine) {
	q.settle(ctx, f, examine, func(s *suspect, l *loss, now time.Time) bool {
		refused := s.crashes() >= s.scope.crashLimit()
		return refused && l.State != verbenastand.ProcessRunning && (now.Sub(l.examinedAt) >= examinationInterval || l.responds(now, q.config.RegistrationTime))
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
			return refusal.WithRetryAfter(q.config.RegistrationTime)
		}
	}
	return nil
}

// settle examines the servers of the losses that are due, each of them once at a time, and
// waits for those that another request examines.
func (q *Quarantiner) settle(ctx context.Context, f Fingerprint, examine Examine, due func(*suspect, *loss, time.Time) bool) {
	if q.suspectCount.Load() == 0 {
		return
	}
	examined := make(chan struct{})
	defer close(examined)
	q.mu.Lock()
	lost, waits := q.startLocked(f, examined, due)
	q.mu.Unlock()
	if len(lost) > 0 {
		states := examineAll(ctx, lost, examine)
		q.mu.Lock()
		changes := q.resolveLocked(f, examined, states)
		q.mu.Unlock()
		q.notify(changes...)
	}
	for _, wait := range waits {
		select {
		case <-wait:
		case <-ctx.Done():
		}
	}
}

// startLocked returns the latest losses of the processes that are to be examined, and what to
// wait for. A process is examined for the evidence of both scopes.
func (q *Quarantiner) startLocked(f Fingerprint, examined chan struct{}, due func(*suspect, *loss, time.Time) bool) (map[verbenastand.ServerID]verbenastand.Loss, []<-chan struct{}) {
	now := q.config.Clock.Now()
	lost := make(map[verbenastand.ServerID]verbenastand.Loss)
	var waits []<-chan struct{}
	suspects := q.suspectsLocked(f)
	for _, s := range suspects {
		for _, l := range s.losses {
			switch known, found := lost[l.process()]; {
			case l.examined != nil:
				waits = append(waits, l.examined)
			case due(s, l, now) && (!found || l.at.After(known.At())):
				lost[l.process()] = l.loss()
			}
		}
	}
	for _, s := range suspects {
		for _, l := range s.losses {
			if _, found := lost[l.process()]; found && l.examined == nil {
				l.examined, l.examinedAt = examined, now
			}
		}
	}
	return lost, waits
}

// examineAll examines processes concurrently.
func examineAll(ctx context.Context, lost map[verbenastand.ServerID]verbenastand.Loss, examine Examine) map[verbenastand.ServerID]verbenastand.ProcessState {
	var mu sync.Mutex
	states := make(map[verbenastand.ServerID]verbenastand.ProcessState, len(lost))
	var pending sync.WaitGroup
	for process, l := range lost {
		pending.Go(func() {
			state := examine(ctx, l)
			mu.Lock()
			defer mu.Unlock()
			states[process] = state
		})
	}
	pending.Wait()
	return states
}

// resolveLocked stores the findings of an examination.
func (q *Quarantiner) resolveLocked(f Fingerprint, examined chan struct{}, states map[verbenastand.ServerID]verbenastand.ProcessState) []Change {
	var changes []Change
	now := q.config.Clock.Now()
	for _, k := range []key{f.perCaller, f.allCallers} {
		s := q.findLocked(k)
		if s == nil {
			continue
		}
		kind, changed := Confirmed, false
		for _, l := range s.losses {
			if l.examined != examined {
				continue
			}
			l.examined = nil
			if !l.resolve(states[l.process()], now, q.config.RegistrationTime) {
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
