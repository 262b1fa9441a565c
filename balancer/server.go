package balancer

import (
	"cmp"
	"sync"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Result is the result of an attempt at a server.
type Result int

const (
	// Succeeded attempts returned a complete response.
	Succeeded Result = iota // succeeded
	// Refused attempts were not run by the server.
	Refused // refused
	// Failed attempts returned a server error or an incomplete response.
	Failed // failed
	// ConnectionLost attempts ended because the connection was closed. A server to
	// which none could be opened is reported by MarkUnreachable instead.
	ConnectionLost // lost
	// Misdirected attempts reached another server process at the address.
	Misdirected // misdirected
	// Abandoned attempts were cancelled by this host and do not count against the
	// server.
	Abandoned // abandoned
)

const (
	// failureWeight is the weight of one attempt in a server's failure rate.
	failureWeight = 0.2
	// failureHalfLife is the half-life of a failure rate while no attempts end.
	failureHalfLife = 2 * time.Second
	// degradedFailureRate is the failure rate above which a server is degraded: it
	// is chosen after preferred ones.
	degradedFailureRate = 0.3
	// latencyRatioWeight is the weight of one duration in the moving average of a
	// server's latency ratio.
	latencyRatioWeight = 0.25
	// latencyRatioHalfLife is the half-life with which a latency ratio returns to 1
	// while no attempts end.
	latencyRatioHalfLife = 3 * time.Second
	// degradedLatencyRatio is the latency ratio above which a server is degraded.
	degradedLatencyRatio = 1.8
	// maxLatencyRatio bounds the effect of a single duration on the latency ratio.
	maxLatencyRatio = 20
	// overdueFactor is the multiple of the expected duration after which a pending
	// request begins to raise the latency ratio of its server.
	overdueFactor = 3
	// baseEjection is how long a server is ejected after a connection failure or a
	// failed health check; each further failure before an attempt succeeds doubles it
	// up to maxEjection.
	baseEjection = 250 * time.Millisecond
	maxEjection  = 2 * time.Second
	// refusalEjection is how long a server is ejected after it refused a request.
	refusalEjection = 60 * time.Millisecond
	// refusalMemory is how long a server goes after others of its tier once it has refused a request
	// while it reported a free slot: it refuses for a reason that its reports do not show. A host sends
	// a server about one request a second, so that 60 ms change nothing.
	refusalMemory = 5 * time.Second
)

// Server is the state of one backend server process as seen by this host.
type Server struct {
	service *Service

	mu           sync.Mutex
	registration verbenastand.Registration
	// warmupReportedAt is when the remaining warmup time of the registration was
	// received.
	warmupReportedAt time.Time
	// replaced is set once another process is listening at the address.
	replaced   bool
	evacuation evacuation

	report     verbenastand.LoadReport
	reportedAt time.Time
	// sentSinceReport counts the requests that this host sent after the report, less
	// those that ended.
	sentSinceReport int
	// reserved counts requests that are about to be sent.
	reserved int
	inFlight map[*Attempt]struct{}
	// bodyBytes counts the large bodies of requests that are in flight or about to be sent.
	bodyBytes int64

	failureRate       float64
	latencyRatio      float64
	decayedAt         time.Time
	consecutiveLosses int
	ejectedUntil      time.Time
	// refusingUntil is the end of the refusalMemory of the latest such refusal.
	refusingUntil time.Time
}

func newServer(s *Service, r verbenastand.Registration, now time.Time) *Server {
	return &Server{service: s, registration: r, warmupReportedAt: now, latencyRatio: 1, decayedAt: now, inFlight: make(map[*Attempt]struct{})}
}

// Registration returns the latest registration of the server.
func (s *Server) Registration() verbenastand.Registration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registration
}

func (s *Server) limiter() verbenastand.RateLimiter { return s.service.balancer.config.Limiter }

// exclusion returns why the server gets no requests, and whether that is so.
func (s *Server) exclusion() (verbenastand.Exclusion, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exclusionLocked()
}

func (s *Server) exclusionLocked() (verbenastand.Exclusion, bool) {
	return s.service.balancer.config.Excluder.Exclusion(s.registration.Process())
}

// update stores a newer registration of the same process. A warmup time that differs
// is the time that remains from now.
func (s *Server) update(r verbenastand.Registration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Warmup() != s.registration.Warmup() {
		s.warmupReportedAt = now
	}
	s.registration = r
}

// decayLocked reduces the weight of old results.
func (s *Server) decayLocked(now time.Time) {
	elapsed := now.Sub(s.decayedAt)
	if elapsed <= 0 {
		return
	}
	s.decayedAt = now
	s.failureRate *= decayFactor(elapsed, failureHalfLife)
	s.latencyRatio = 1 + (s.latencyRatio-1)*decayFactor(elapsed, latencyRatioHalfLife)
}

// warmingLocked reports whether the server is still warming up. Where cold servers have a
// limit, both health checks and registrations state it.
func (s *Server) warmingLocked(now time.Time) bool {
	if s.service.limitsCold() {
		return s.limiter().Remaining(s.registration.Process()) > 0
	}
	return now.Sub(s.warmupReportedAt) < s.registration.Warmup()
}

// latencyRatioLocked returns the ratio of actual to expected latency, at least that
// of overdue pending requests.
func (s *Server) latencyRatioLocked(now time.Time) float64 {
	latencyRatio := s.latencyRatio
	for a := range s.inFlight {
		elapsed := now.Sub(a.sentAt)
		if elapsed > overdueFactor*a.expected {
			latencyRatio = max(latencyRatio, min(maxLatencyRatio, float64(elapsed)/float64(a.expected)))
		}
	}
	return latencyRatio
}

// setReport stores a new load report, which covers all requests sent so far.
func (s *Server) setReport(r verbenastand.LoadReport, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setReportLocked(r, now)
}

func (s *Server) setReportLocked(r verbenastand.LoadReport, now time.Time) {
	s.report = r
	s.reportedAt = now
	s.sentSinceReport = 0
}

// ejectLocked ejects the server for a time that grows with consecutive failures.
func (s *Server) ejectLocked(now time.Time) {
	s.consecutiveLosses++
	ejection := baseEjection << min(s.consecutiveLosses-1, 10)
	s.ejectedUntil = now.Add(min(ejection, maxEjection))
}

// Attempt is one request at a server.
type Attempt struct {
	server   *Server
	route    verbenastand.RouteName
	sentAt   time.Time
	expected time.Duration
	// level is the server's concurrency including this request.
	level    int
	slowdown float64
	// bodyBytes is what the body of the request counts in Server.bodyBytes.
	bodyBytes int64
}

// Begin records that a request is sent to the chosen server.
func (c Choice) Begin(route verbenastand.RouteName) *Attempt {
	s := c.Server
	now := s.service.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.reserved {
		s.reserved--
	}
	a := &Attempt{
		server: s, route: route, sentAt: now, expected: max(c.Estimate, 1),
		level: s.report.Running + s.sentSinceReport + 1, slowdown: slowdownOf(s.report), bodyBytes: c.bodyBytes,
	}
	s.sentSinceReport++
	s.inFlight[a] = struct{}{}
	return a
}

// End records the result of the attempt. report is the load report of the response,
// nil if there was none.
func (a *Attempt) End(result Result, report *verbenastand.LoadReport) {
	s := a.server
	now := s.service.clock.Now()
	took := now.Sub(a.sentAt)
	s.mu.Lock()
	delete(s.inFlight, a)
	s.sentSinceReport--
	s.addBodyLocked(-a.bodyBytes)
	if report != nil {
		s.setReportLocked(*report, now)
	}
	s.decayLocked(now)
	switch result {
	case Succeeded:
		s.consecutiveLosses = 0
		s.failureRate *= 1 - failureWeight
		latencyRatio := min(maxLatencyRatio, float64(took)/float64(a.expected))
		s.latencyRatio += latencyRatioWeight * (latencyRatio - s.latencyRatio)
		if s.service.reportsNoLoad() {
			// There are no health checks that could confirm it.
			s.confirmWarmthLocked(a.sentAt)
		}
	case Failed:
		s.failureRate += failureWeight * (1 - s.failureRate)
	case Refused:
		s.ejectedUntil = now.Add(refusalEjection)
		if report != nil && report.Waiting == 0 && report.Running < cmp.Or(report.Slots, s.registration.Slots()) {
			s.refusingUntil = now.Add(refusalMemory)
		}
	case ConnectionLost:
		s.failureRate += failureWeight * (1 - s.failureRate)
		s.ejectLocked(now)
	case Misdirected:
		s.replaced = true
	case Abandoned:
	}
	slowed := s.latencyRatioLocked(now) > degradedLatencyRatio || s.coldLocked(now)
	s.mu.Unlock()
	if report != nil || s.service.reportsNoLoad() {
		s.service.offerCapacity(s)
	}
	if result == Succeeded && !slowed {
		s.service.profile.observe(a.route, a.level, float64(took)/a.slowdown)
	}
}

// MarkUnreachable records that no connection to the server could be opened, or that
// it did not respond to a health check.
func (s *Server) MarkUnreachable() {
	now := s.service.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ejectLocked(now)
}

// MarkReplaced records that another process is listening at the address of the
// server.
func (s *Server) MarkReplaced() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaced = true
}

// Slowdown returns the slowdown that the server reported within the given time, 1 if it did not.
func (s *Server) Slowdown(maxAge time.Duration) float64 {
	now := s.service.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) > maxAge {
		return 1
	}
	return slowdownOf(s.report)
}

func slowdownOf(r verbenastand.LoadReport) float64 {
	if r.Slowdown <= 0 {
		return 1
	}
	return r.Slowdown
}
