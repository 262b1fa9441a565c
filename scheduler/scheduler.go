// Package scheduler assigns requests to servers as late as possible. Requests
// wait in a queue on this host, ordered by priority and size, until a server has
// a free slot that this host may use.
package scheduler

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/estimator"
	"github.com/verbenastand/verbenastand/placer"
)

const (
	// DefaultMaxQueue is the maximum queue length of one service.
	DefaultMaxQueue = 8192
	// grantShareWeight is the weight of a grant in the moving average of grants
	// per priority. minFreeFraction is the minimum fraction of the slots that a
	// priority is assumed to get.
	grantShareWeight = 1.0 / 128
	minFreeFraction  = 1.0 / reverseInterval
	// reverseInterval is the interval, in grants, at which the lowest priority is
	// served first.
	reverseInterval = 16
	// minRetryAfter is the minimum Retry-After of a refusal.
	minRetryAfter = 50 * time.Millisecond
	// longSlotsDivisor sets the minimum share of a server's slots for long
	// requests: slots/longSlotsDivisor.
	longSlotsDivisor = 3
	// longHeadroom multiplies the share of the work that is long to get the share
	// of the slots for long requests.
	longHeadroom = 1.25
)

// Config configures a Scheduler.
type Config struct {
	Clock verbenastand.Clock
	// Self is this host; servers in its zone are preferred.
	Self verbenastand.Host
	// ZoneRTT is the round-trip time to servers in other zones.
	ZoneRTT time.Duration
	// MaxQueue is the maximum queue length; zero means DefaultMaxQueue.
	MaxQueue int
	// Expected returns the mean duration of short requests.
	Expected func() time.Duration
	// Limiter keeps the limits that servers name; nil for none.
	Limiter verbenastand.RateLimiter
	// Excluder keeps which servers have asked for a pause; nil for none.
	Excluder verbenastand.ServerExcluder
	// LongWork returns the fraction of the servers' time that long requests take.
	LongWork func() float64
}

// Counters are totals since the scheduler was created.
type Counters struct {
	Granted  uint64
	Queued   uint64
	Refused  uint64
	Expired  uint64
	Borrowed uint64
}

// Scheduler assigns the slots of one service on this host to requests.
type Scheduler struct {
	config Config
	active atomic.Bool

	mu       sync.Mutex
	service  verbenastand.Service
	homes    []verbenastand.Host
	servers  []*server
	byID     map[verbenastand.ServerID]*server
	heaps    [verbenastand.SizeCount]serverHeap
	queue    queue
	capacity [verbenastand.SizeCount]int
	// fallback is set while more than half of the servers are ejected. Ejected
	// servers then get requests too.
	fallback     bool
	lastSequence uint64
	grants       uint64
	// grantShare is the moving average of the fraction of grants per priority.
	grantShare [verbenastand.PriorityCount]float64
	counters   Counters
}

// NewScheduler returns a scheduler without servers.
func NewScheduler(c Config) *Scheduler {
	if c.LongWork == nil {
		c.LongWork = func() float64 { return 0 }
	}
	if c.Limiter == nil {
		c.Limiter = verbenastand.Unlimited{}
	}
	if c.Excluder == nil {
		c.Excluder = verbenastand.NoExclusions{}
	}
	if c.MaxQueue == 0 {
		c.MaxQueue = DefaultMaxQueue
	}
	s := &Scheduler{config: c, byID: make(map[verbenastand.ServerID]*server)}
	for size := range s.heaps {
		s.heaps[size].size = size
	}
	return s
}

// Update replaces the servers and home hosts of the service.
func (s *Scheduler) Update(service verbenastand.Service, servers []verbenastand.Server, homes []verbenastand.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	old := s.byID
	s.byID = make(map[verbenastand.ServerID]*server, len(servers))
	s.servers = s.servers[:0:0]
	for _, srv := range servers {
		entry := s.reuseOrCreate(old, srv)
		entry.share = placer.Share(srv, srv.Slots(), homes, s.config.Self.ID())
		s.byID[srv.ID()] = entry
		s.servers = append(s.servers, entry)
	}
	for id, entry := range old {
		if s.byID[id] != entry {
			entry.removed = true
		}
	}
	s.service, s.homes = service, homes
	s.refresh(now)
	s.dispatch(now)
}

func (s *Scheduler) reuseOrCreate(old map[verbenastand.ServerID]*server, srv verbenastand.Server) *server {
	entry := old[srv.ID()]
	if entry == nil || entry.Address() != srv.Address() || entry.Slots() != srv.Slots() {
		entry = &server{Server: srv, limiter: s.config.Limiter, excluder: s.config.Excluder, estimate: estimator.NewEstimate(srv.Slots(), len(old) > 0)}
	}
	if entry.notice != nil && srv.Ticket() > entry.notice.Ticket {
		entry.notice = nil
	}
	entry.Server = srv
	entry.sameZone = srv.Zone() == s.config.Self.Zone()
	entry.rtt = 0
	if !entry.sameZone {
		entry.rtt = s.config.ZoneRTT
	}
	return entry
}

// longSlots returns how many slots of a server long requests may hold: the
// configured number, or else their share of the work plus headroom. The latter is
// at least slots/longSlotsDivisor and leaves at least one slot to short requests,
// unless the server has only one.
func (s *Scheduler) longSlots(slots int) int {
	if s.service.LongSlots() > 0 {
		return min(s.service.LongSlots(), slots)
	}
	wanted := int(math.Round(float64(slots) * s.config.LongWork() * longHeadroom))
	return max(1, slots/longSlotsDivisor, min(slots-1, wanted))
}

// shareLongSlots divides the slots for long requests among the home hosts.
func (s *Scheduler) shareLongSlots() {
	for _, entry := range s.servers {
		entry.longSlots = s.longSlots(entry.Slots())
		entry.longShare = placer.Share(entry.Server, entry.longSlots, s.homes, s.config.Self.ID())
	}
	s.ensureLongShare()
}

// ensureLongShare gives this host one slot for long requests if the division
// left it without any.
func (s *Scheduler) ensureLongShare() {
	for _, entry := range s.servers {
		if entry.longShare > 0 {
			return
		}
	}
	if len(s.servers) > 0 {
		s.servers[0].longShare = 1
	}
}
