package hedger

import (
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Side is one of the two attempts of a hedged request.
type Side int

const (
	// First is the attempt that was running when the hedge was sent.
	First Side = iota
	// Second is the hedge.
	Second
	sides
)

// Pair is a hedged request. Its extra server time is that of the attempt whose response is
// not used. Its methods are safe for concurrent use.
type Pair struct {
	hedger  *Hedger
	service verbenastand.ServiceName
	route   verbenastand.RouteName
	// reserved is the reserved server time, chunk that of one extension.
	reserved, chunk time.Duration
	took            [sides]time.Duration
	ended           [sides]bool
	won             [sides]bool
	decided         bool
	settled         bool
}

// Begin reserves the extra server time of a hedge that is about to be sent. It is the age of the
// first attempt and the time that the second one takes: whichever loses, it has not lasted
// longer than that when the reservation ends. At that time the caller extends
// the reservation or cancels the second attempt.
func (h *Hedger) Begin(a Attempt) (*Pair, Denial) {
	if h.mode == Disabled {
		return nil, ByMode
	}
	p := &Pair{hedger: h, service: a.Service, route: a.Route}
	if h.mode == Limited {
		h.mu.Lock()
		defer h.mu.Unlock()
		p.chunk = h.secondDurationLocked(a)
		p.reserved = a.Elapsed + p.chunk
		if denial := h.serviceLocked(a.Service).budget.reserve(p.reserved); denial != Allowed {
			return nil, denial
		}
	}
	return p, Allowed
}

// Sent records that the second attempt is sent.
func (p *Pair) Sent() { p.hedger.config.Observer.HedgeSent(p.service) }

// Lease returns the time for which the second attempt may run until Extend is called, zero if it
// is not limited.
func (p *Pair) Lease() time.Duration { return p.chunk }

// Extend reserves server time for another lease, and reports whether the limit allows it.
func (p *Pair) Extend() bool {
	if p.hedger.mode != Limited {
		return true
	}
	p.hedger.mu.Lock()
	defer p.hedger.mu.Unlock()
	if p.settled || !p.hedger.serviceLocked(p.service).budget.extend(p.chunk) {
		return false
	}
	p.reserved += p.chunk
	return true
}

// Abandon gives up a hedge that was not sent.
func (p *Pair) Abandon() {
	p.hedger.mu.Lock()
	defer p.hedger.mu.Unlock()
	p.settleLocked(0)
}

// Ended records that an attempt has ended, after the given time at its server.
func (p *Pair) Ended(side Side, took time.Duration) {
	p.hedger.mu.Lock()
	p.ended[side], p.took[side] = true, max(0, took)
	extra, settled := p.trySettleLocked()
	p.hedger.mu.Unlock()
	p.report(extra, settled)
}

// Won records that the response of an attempt is used.
func (p *Pair) Won(side Side) {
	p.hedger.mu.Lock()
	first := !p.decided
	p.won[side], p.decided = true, true
	extra, settled := p.trySettleLocked()
	p.hedger.mu.Unlock()
	if side == Second && first {
		p.hedger.config.Observer.HedgeWon(p.service)
	}
	p.report(extra, settled)
}

// Close records that the request has ended. If no response of either attempt was used, the
// longer of both counts as extra server time.
func (p *Pair) Close() {
	p.hedger.mu.Lock()
	p.decided = true
	extra, settled := p.trySettleLocked()
	p.hedger.mu.Unlock()
	p.report(extra, settled)
}

func (p *Pair) report(extra time.Duration, settled bool) {
	if settled {
		p.hedger.config.Observer.HedgeSettled(p.service, extra)
	}
}

// trySettleLocked settles the reservation once it is known which attempt lost and how long it
// lasted.
func (p *Pair) trySettleLocked() (extra time.Duration, settled bool) {
	if !p.decided || p.settled {
		return 0, false
	}
	for side := range sides {
		if p.won[side] {
			continue
		}
		if !p.ended[side] {
			return 0, false
		}
		extra = max(extra, p.took[side])
	}
	p.settleLocked(extra)
	return extra, true
}

func (p *Pair) settleLocked(extra time.Duration) {
	if p.settled {
		return
	}
	p.settled = true
	if p.hedger.mode == Limited {
		p.hedger.serviceLocked(p.service).budget.settle(p.reserved, extra)
	}
}
