package scheduler

import (
	"math"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/estimator"
)

const (
	// reportLifetime is how long a load report is used.
	reportLifetime = 100 * time.Millisecond
	// maxTransit is the maximum number of extra requests per slot that cover the
	// network round trip.
	maxTransit = 1.0
	// remotePenalty multiplies the score of servers in other zones.
	remotePenalty = 1.15
)

// Report is the state that a server reports with a response.
type Report struct {
	// InFlight is the number of requests at the server, from all hosts, without
	// the one of this response. It is negative if the server does not report it.
	InFlight int
	// Instance identifies the process of the server; it is empty if the server
	// does not report it.
	Instance string
	// Draining is set if the server accepts no new requests.
	Draining bool
}

// NoReport is the report of a server that reports no state.
var NoReport = Report{InFlight: -1}

// DrainNotice announces that a server is draining.
type DrainNotice struct {
	// Server is the draining server.
	Server verbenastand.ServerID
	// Ticket is the number of the ticket in effect for the server when it started
	// to drain. A newer ticket cancels the notice.
	Ticket verbenastand.TicketNumber
	// Instance identifies the draining process of the server. A new instance
	// cancels the notice.
	Instance string
}

// server holds this host's state of one backend server. It is guarded by the
// scheduler's mutex.
type server struct {
	verbenastand.Server
	limiter  verbenastand.RateLimiter
	excluder verbenastand.ServerExcluder
	sameZone bool
	rtt      time.Duration
	// transit is the number of requests per slot that are expected to be on the
	// network rather than at the server.
	transit   float64
	share     int
	longShare int
	longSlots int

	inFlight      [verbenastand.SizeCount]int
	otherInFlight int
	reportedAt    time.Time
	// respondedAt is when a request to the server or a probe of it last succeeded.
	respondedAt  time.Time
	instance     string
	notice       *DrainNotice
	estimate     estimator.Estimate
	totalGranted uint64
	probes       uint64

	score    [verbenastand.SizeCount]float64
	position [verbenastand.SizeCount]int
	removed  bool
}

func (s *server) total() int {
	return s.inFlight[verbenastand.Short] + s.inFlight[verbenastand.Long]
}

// draining reports whether the server gets no new requests.
func (s *server) draining() bool {
	return s.State() == verbenastand.ServerDraining || s.notice != nil
}

// pause returns the time until the server takes requests again, zero if it has not asked for a
// pause.
func (s *server) pause() time.Duration {
	p := s.Process()
	p.Instance = s.instance
	e, _ := s.excluder.Exclusion(p)
	return e.Wait
}

// applyNotice stores a notice unless the server already has one, or a newer ticket or
// another instance has cancelled it. It reports whether the notice was stored.
func (s *server) applyNotice(n DrainNotice) bool {
	if n.Ticket < s.Ticket() || s.notice != nil {
		return false
	}
	if n.Instance != "" && s.instance != "" && n.Instance != s.instance {
		return false
	}
	s.notice = &n
	return true
}

// observeResult records whether a request or probe succeeded, and the server's
// report. It returns a notice and true if the report showed for the first time that
// the server is draining.
func (s *server) observeResult(now time.Time, ok bool, r Report) (DrainNotice, bool) {
	if ok {
		s.respondedAt = now
	}
	wasDraining := s.notice != nil
	s.applyReport(now, r)
	if s.notice != nil && !wasDraining {
		return *s.notice, true
	}
	return DrainNotice{}, false
}

// applyReport stores the state that the server reported.
func (s *server) applyReport(now time.Time, r Report) {
	if r.Instance != "" && r.Instance != s.instance {
		if s.instance != "" {
			s.estimate.Restarted()
		}
		s.instance = r.Instance
		if s.notice != nil && s.notice.Instance != r.Instance {
			s.notice = nil
		}
	}
	if r.Draining {
		s.applyNotice(DrainNotice{Server: s.ID(), Ticket: s.Ticket(), Instance: r.Instance})
	}
	if r.InFlight < 0 {
		return
	}
	s.otherInFlight = max(0, r.InFlight-s.total())
	s.reportedAt = now
}

// limit returns how many requests this host may have in flight at the server: zero
// if the server must not get requests, or else this host's share of the slots, but
// at least one, so that every home host gets samples from every server. While a
// recent report shows that other hosts leave slots unused, this host may borrow
// those. Borrowing this way needs no messages between hosts, and no lease that a
// paused or partitioned host could outlive. The limit never exceeds the estimated
// concurrency limit of the server.
func (s *server) limit(now time.Time, fallback bool) int {
	if s.removed || s.draining() || s.estimate.InBackoff(now) || s.pause() > 0 {
		return 0
	}
	if s.estimate.Ejected(now) && !fallback {
		return 0
	}
	limit := max(1, s.withTransit(s.share))
	if now.Sub(s.reportedAt) < reportLifetime {
		limit = max(limit, s.withTransit(s.Slots()-s.otherInFlight))
	}
	return min(limit, s.estimate.Limit())
}

// capacity returns how many requests this host can have in flight at the server in the
// long run: limit, unless its share of the limit that the server names allows fewer.
func (s *server) capacity(now time.Time, fallback bool, expected time.Duration) int {
	limit := s.limit(now, fallback)
	share, limited := s.limiter.Share(s.Process())
	if !limited {
		return limit
	}
	return min(limit, int(math.Ceil(float64(share)*expected.Seconds())))
}

// longLimit returns how many long requests this host may have in flight at the
// server. With a recent report it may also borrow unused slots for long requests.
// The report does not distinguish sizes, so all requests of other hosts count as
// long.
func (s *server) longLimit(now time.Time) int {
	if now.Sub(s.reportedAt) >= reportLifetime {
		return s.longShare
	}
	return max(s.longShare, s.longSlots-s.otherInFlight)
}

// setTransit computes how many extra requests keep a slot occupied while its next
// request is on the network.
func (s *server) setTransit(expected time.Duration) {
	s.transit = 0
	if expected > 0 {
		s.transit = min(maxTransit, float64(s.rtt)/float64(expected))
	}
}

func (s *server) withTransit(slots int) int {
	return slots + int(math.Ceil(float64(slots)*s.transit))
}

// rescore computes the server's scores for short and long requests. Lower is
// better.
func (s *server) rescore(now time.Time, fallback bool, expected time.Duration) {
	limit := s.limit(now, fallback)
	s.score[verbenastand.Short] = unavailable
	s.score[verbenastand.Long] = unavailable
	if s.total() >= limit || !s.limiter.Available(s.Process()) {
		return
	}
	if s.inFlight[verbenastand.Short] > 0 && s.estimate.Stalled(now, expected) {
		return
	}
	busy := float64(s.total()+s.otherInFlight) / float64(s.Slots())
	score := s.estimate.ScoreFactor() * (1 + busy)
	if !s.sameZone {
		score *= remotePenalty
	}
	s.score[verbenastand.Short] = score
	if s.inFlight[verbenastand.Long] < s.longLimit(now) {
		s.score[verbenastand.Long] = score
	}
}
