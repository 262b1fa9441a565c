package gossiper

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/limiter"
	"github.com/verbenastand/verbenastand/quarantiner"
)

// Defaults of a Config.
const (
	DefaultInterval = 500 * time.Millisecond
	DefaultLifetime = 5 * time.Second
	DefaultFanout   = 1
)

const (
	exchangeTimeout = time.Second
	// pushTimeout bounds how long sending urgent updates may delay a response.
	pushTimeout = 150 * time.Millisecond
	// messageBudget bounds an outgoing message in bytes, so that the network
	// traffic of a host does not grow with the number of hosts.
	messageBudget = 1400
	// The approximate encoded sizes of the parts of a message.
	hostRecordBytes = 100
	heartbeatBytes  = 9
	noticeBytes     = 50
	evidenceBytes   = 90
	limitBytes      = 50
	tagBytes        = 5
	// recordsPerMessage bounds the full records of other hosts in a message.
	recordsPerMessage = 4
	// initialRecords bounds the full records in the response to a host that is
	// unknown or asks for records.
	initialRecords = 256
	// recentChangeWindow is how long after a change a record takes precedence over
	// others in messages.
	recentChangeWindow = 5 * time.Second
	// urgentFanout is the number of neighbours to which a host passes on urgent
	// changes that it has received.
	urgentFanout = 2
	// urgentRounds is the number of times that it does so for each change.
	urgentRounds = 3
	// maxLeaving bounds the announced shutdowns in one message.
	maxLeaving = 64
	// maxUrgentItems bounds the drain notices, the evidence and the limits in one
	// message, initialUrgentItems the latter two in the response to a host that is
	// unknown or asks for records.
	maxUrgentItems     = 8
	initialUrgentItems = 128
	// largeZone is the number of hosts from which the hosts of an availability zone learn of
	// each other almost only within the zone, since traffic between zones is expensive.
	largeZone = 16
	// contactLifetimes is the number of lifetimes after which an unreachable
	// host is no longer contacted.
	contactLifetimes = 30
)

// Config configures a Gossiper.
type Config struct {
	Timer     verbenastand.TimerService
	Transport verbenastand.PeerTransport
	Self      verbenastand.Host
	// Seeds are the hosts to contact first. Only their peer addresses and names
	// are used.
	Seeds    []verbenastand.Host
	Interval time.Duration
	// Lifetime is how long a host without a new heartbeat is considered alive.
	Lifetime time.Duration
	// LifetimePerHost is added to the lifetime for each known peer.
	LifetimePerHost time.Duration
	// Neighbours bounds the hosts to which heartbeats are sent; zero means no
	// bound. The relation is symmetric and most neighbours are in the host's own
	// availability zone, so that hosts keep few connections.
	Neighbours int
	Fanout     int
	Random     *rand.Rand

	// Configuration provides the ticket number and digest to advertise.
	Configuration verbenastand.ConfigurationSource
	Quarantine    *quarantiner.Quarantiner
	Limits        *limiter.Limiter
	// Notices returns the drain notices to send.
	Notices func() []Notice
	// OnNotice applies a received notice and reports whether it was new.
	OnNotice func(Notice) bool
	// OnMembershipChange is called after the set of hosts considered alive has
	// changed.
	OnMembershipChange func()
	// OnNewerTickets is called when a peer has a different configuration whose ticket
	// number is at least as high as this host's.
	OnNewerTickets func(peer verbenastand.Host, number verbenastand.TicketNumber)
}

// Gossiper exchanges state with peers. It implements verbenastand.Membership.
type Gossiper struct {
	config Config
	view   atomic.Pointer[[]verbenastand.Host]

	sent     atomic.Uint64
	received atomic.Uint64

	mu    sync.Mutex
	self  hostRecord
	peers map[verbenastand.HostID]*peer
	byTag map[uint32]*peer
	seeds []verbenastand.Host
	// grownAt is when another host became known, or when this one started.
	grownAt time.Time
	// needsRecords is set after a heartbeat of an unknown instance arrived, until
	// a message with many records does.
	needsRecords bool
	// urgentRounds is how many more times PassOn sends urgent changes.
	urgentRounds int
	exchanges    sync.WaitGroup
}

// NewGossiper returns a gossiper that knows only its own host and its seeds.
func NewGossiper(c Config) *Gossiper {
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.Lifetime == 0 {
		c.Lifetime = DefaultLifetime
	}
	if c.Fanout == 0 {
		c.Fanout = DefaultFanout
	}
	g := &Gossiper{config: c, self: recordOf(c.Self), peers: make(map[verbenastand.HostID]*peer), byTag: make(map[uint32]*peer), seeds: c.Seeds, grownAt: c.Timer.Now()}
	g.view.Store(&[]verbenastand.Host{c.Self})
	return g
}

// Self returns this host.
func (g *Gossiper) Self() verbenastand.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self.host()
}

// Hosts returns the hosts considered alive, including this one, sorted by name.
func (g *Gossiper) Hosts() []verbenastand.Host { return *g.view.Load() }

// Find returns the host with the given name if it is considered alive.
func (g *Gossiper) Find(id verbenastand.HostID) (verbenastand.Host, bool) {
	for _, h := range g.Hosts() {
		if h.ID() == id {
			return h, true
		}
	}
	return verbenastand.Host{}, false
}

// TrafficBytes returns the total message bytes sent and received.
func (g *Gossiper) TrafficBytes() (sent, received uint64) { return g.sent.Load(), g.received.Load() }

// Leave announces to the neighbours that this host accepts no new callers. They pass
// it on to the other hosts.
func (g *Gossiper) Leave(ctx context.Context) {
	g.mu.Lock()
	g.self.Leaving = true
	// Peers ignore a record whose heartbeat they have seen.
	g.self.Heartbeat++
	g.mu.Unlock()
	g.rebuild()
	g.push(ctx, g.neighbours(g.contacts()))
}

// SetDetached sets whether this host reaches no backend server, as advertised to peers.
func (g *Gossiper) SetDetached(detached bool) {
	g.mu.Lock()
	g.self.Detached = detached
	g.self.Heartbeat++
	g.mu.Unlock()
	g.rebuild()
}

// PushNeighbours sends the current state to the neighbours at once and waits up to
// pushTimeout for their responses. They pass on what is urgent to the other hosts.
func (g *Gossiper) PushNeighbours(ctx context.Context) {
	g.Push(ctx, g.neighbours(g.contacts()))
}

// PassOn sends the current state to a few neighbours if urgent changes were received
// before the last few calls. Changes that arrive between two calls are sent together,
// so that the number of messages does not grow with the number of changes.
func (g *Gossiper) PassOn(time.Time) {
	for _, h := range g.takeUrgentTargets() {
		g.startExchange(h)
	}
}

// SpreadChanges lets the next calls of PassOn send the evidence of crashes and the limits
// that have changed on this host.
func (g *Gossiper) SpreadChanges() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.urgentRounds = urgentRounds
}

// takeUrgentTargets returns the neighbours to which urgent changes are to be sent,
// none if there are no changes.
func (g *Gossiper) takeUrgentTargets() []verbenastand.Host {
	g.mu.Lock()
	urgent := g.urgentRounds > 0
	g.urgentRounds = max(0, g.urgentRounds-1)
	g.mu.Unlock()
	if !urgent {
		return nil
	}
	targets := g.neighbours(g.contacts())
	g.shuffle(targets)
	return targets[:min(urgentFanout, len(targets))]
}

// Tick sends a heartbeat to Fanout randomly chosen neighbours.
func (g *Gossiper) Tick(time.Time) {
	for _, h := range g.advanceHeartbeat() {
		g.startExchange(h)
	}
}

func (g *Gossiper) startExchange(h verbenastand.Host) {
	g.exchanges.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
		defer cancel()
		g.exchange(ctx, h)
	})
}

// advanceHeartbeat increments the heartbeat and returns the peers to send it to.
func (g *Gossiper) advanceHeartbeat() []verbenastand.Host {
	g.mu.Lock()
	g.self.Heartbeat++
	g.mu.Unlock()
	g.rebuild()
	targets := g.neighbours(g.contacts())
	g.shuffle(targets)
	return targets[:min(g.config.Fanout, len(targets))]
}

// Sync exchanges messages with every contact and waits for the responses. It is
// for use at startup.
func (g *Gossiper) Sync(ctx context.Context) { g.push(ctx, g.contacts()) }

// Wait blocks until the exchanges in progress have ended.
func (g *Gossiper) Wait() { g.exchanges.Wait() }

// neighbours returns the contacts to which heartbeats are sent: those with the
// lowest hash of the pair of hosts, so that both sides agree, three quarters of
// them in this host's availability zone, and all but one if that zone is large.
// Contacts whose name is not known yet are always included.
func (g *Gossiper) neighbours(contacts []verbenastand.Host) []verbenastand.Host {
	limit := g.config.Neighbours
	if limit == 0 || len(contacts) <= limit {
		return contacts
	}
	hashes := make(map[verbenastand.HostID]uint64, len(contacts))
	for _, h := range contacts {
		a, b := string(g.config.Self.ID()), string(h.ID())
		hashes[h.ID()] = xxhash.Sum64String(min(a, b) + "\x00" + max(a, b))
	}
	slices.SortFunc(contacts, func(a, b verbenastand.Host) int { return cmp.Compare(hashes[a.ID()], hashes[b.ID()]) })
	others := limit - limit*3/4
	if zoneSize(contacts, g.config.Self.Zone()) >= largeZone {
		others = 1
	}
	remaining := map[bool]int{true: limit - others, false: others}
	var chosen []verbenastand.Host
	for _, h := range contacts {
		sameZone := h.Zone() == g.config.Self.Zone()
		if h.ID() == "" || remaining[sameZone] > 0 {
			remaining[sameZone]--
			chosen = append(chosen, h)
		}
	}
	return chosen
}

// zoneSize returns the number of hosts in an availability zone.
func zoneSize(hosts []verbenastand.Host, zone verbenastand.Zone) (n int) {
	for _, h := range hosts {
		if h.Zone() == zone {
			n++
		}
	}
	return n
}

// lifetimeLocked returns how long a host without a new heartbeat is considered
// alive.
func (g *Gossiper) lifetimeLocked() time.Duration {
	return g.config.Lifetime + time.Duration(len(g.peers))*g.config.LifetimePerHost
}

func (g *Gossiper) shuffle(hosts []verbenastand.Host) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.config.Random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
}

// contacts returns every other host to which messages may be sent. Unreachable
// hosts are included for contactLifetimes lifetimes, so that the sides of a network
// partition find each other again, and are then removed.
func (g *Gossiper) contacts() []verbenastand.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Timer.Now()
	var hosts []verbenastand.Host
	knownAddresses := make(map[string]bool)
	for id, p := range g.peers {
		if now.Sub(p.lastSeen) > contactLifetimes*g.lifetimeLocked() {
			delete(g.peers, id)
			delete(g.byTag, p.tag)
			continue
		}
		hosts = append(hosts, p.record.host())
		knownAddresses[p.record.PeerAddress] = true
	}
	for _, s := range g.seeds {
		if !knownAddresses[s.PeerAddress()] && s.PeerAddress() != g.self.PeerAddress {
			hosts = append(hosts, s)
		}
	}
	slices.SortFunc(hosts, func(a, b verbenastand.Host) int { return cmp.Compare(a.PeerAddress(), b.PeerAddress()) })
	return hosts
}

// ResetTimeouts restarts the lifetime of every live peer after this process was
// paused: heartbeats may have been sent that this process did not read.
func (g *Gossiper) ResetTimeouts() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Timer.Now()
	alive := *g.view.Load()
	for _, h := range alive {
		if p := g.peers[h.ID()]; p != nil {
			p.lastSeen = now
		}
	}
}
