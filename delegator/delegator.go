// Package delegator selects the hosts that handle requests on behalf of a host that
// reaches no backend server.
package delegator

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/placer"
)

// maxDelegates bounds the hosts to which one host delegates requests, so that it keeps
// few connections in a large deployment. Each host has its own, spread over the
// availability zones.
const maxDelegates = 8

// ErrNoDelegate means that no other host is known to reach servers.
var ErrNoDelegate = errors.New("delegator: no other host is known to reach servers")

// Config holds the dependencies of a Delegator.
type Config struct {
	Self       verbenastand.Host
	Membership interface{ Hosts() []verbenastand.Host }
	// Evacuated reports whether the servers of an availability zone get no requests; nil if
	// that is never so.
	Evacuated func(verbenastand.Zone) bool
	// Regions are the regions of availability zones.
	Regions verbenastand.ZoneRegions
	// Tunnel opens a connection to the acceptor of a host on behalf of a caller.
	Tunnel func(ctx context.Context, host verbenastand.Host, origin verbenastand.Origin) (net.Conn, error)
}

// Delegator selects hosts by the requests that this host has delegated to them.
type Delegator struct {
	config Config

	mu       sync.Mutex
	inFlight map[verbenastand.HostID]int
	// members are the hosts from which delegates were selected.
	members, delegates []verbenastand.Host
}

// NewDelegator returns a delegator.
func NewDelegator(c Config) *Delegator {
	if c.Evacuated == nil {
		c.Evacuated = func(verbenastand.Zone) bool { return false }
	}
	return &Delegator{config: c, inFlight: make(map[verbenastand.HostID]int)}
}

// Select returns a host that reaches servers and is not among those already tried: the
// one of two random ones to which fewer requests are delegated (power of two choices,
// Mitzenmacher 2001). The host is in one of the regions or in that of this host, which has the
// request already. It must be released.
func (d *Delegator) Select(tried []verbenastand.HostID, regions verbenastand.Regions) (verbenastand.Host, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delegates := d.delegatesLocked()
	if regions.Restricted() {
		delegates = d.delegatesIn(regions)
	}
	untried := slices.DeleteFunc(slices.Clone(delegates), func(h verbenastand.Host) bool {
		return slices.Contains(tried, h.ID())
	})
	if len(untried) == 0 {
		return verbenastand.Host{}, ErrNoDelegate
	}
	untried = d.preferred(untried)
	rand.Shuffle(len(untried), func(i, j int) { untried[i], untried[j] = untried[j], untried[i] })
	selected := untried[0]
	if len(untried) > 1 && d.inFlight[untried[1].ID()] < d.inFlight[selected.ID()] {
		selected = untried[1]
	}
	d.inFlight[selected.ID()]++
	return selected, nil
}

// preferred returns the hosts whose zones are not evacuated, or all if there are none: the others
// have no shares of servers' limits, and are far from all servers.
func (d *Delegator) preferred(hosts []verbenastand.Host) []verbenastand.Host {
	preferred := slices.DeleteFunc(slices.Clone(hosts), func(h verbenastand.Host) bool { return d.config.Evacuated(h.Zone()) })
	if len(preferred) == 0 {
		return hosts
	}
	return preferred
}

// delegatesLocked returns the hosts that reach servers, selected again only when the
// membership has changed.
func (d *Delegator) delegatesLocked() []verbenastand.Host {
	hosts := d.config.Membership.Hosts()
	if len(hosts) > 0 && len(d.members) == len(hosts) && &d.members[0] == &hosts[0] {
		return d.delegates
	}
	d.members = hosts
	d.delegates = d.spread(d.reaching(hosts))
	return d.delegates
}

// reaching returns the other hosts that reach servers.
func (d *Delegator) reaching(hosts []verbenastand.Host) []verbenastand.Host {
	var reaching []verbenastand.Host
	for _, h := range hosts {
		if h.ID() != d.config.Self.ID() && !h.Leaving() && !h.Detached() {
			reaching = append(reaching, h)
		}
	}
	return reaching
}

func (d *Delegator) spread(hosts []verbenastand.Host) []verbenastand.Host {
	return placer.Homes(verbenastand.ServiceName(d.config.Self.ID()), maxDelegates, hosts)
}

// delegatesIn returns the hosts to which a request may be sent that may run in some regions only.
func (d *Delegator) delegatesIn(regions verbenastand.Regions) []verbenastand.Host {
	own := d.config.Self.Zone()
	return d.spread(slices.DeleteFunc(d.reaching(d.config.Membership.Hosts()), func(h verbenastand.Host) bool {
		region := d.config.Regions.Of(h.Zone())
		sameRegion := h.Zone() == own || (region != "" && region == d.config.Regions.Of(own))
		return !sameRegion && !regions.Allows(region)
	}))
}

// Release records that a request delegated to the host has ended.
func (d *Delegator) Release(host verbenastand.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight[host.ID()]--
	if d.inFlight[host.ID()] <= 0 {
		delete(d.inFlight, host.ID())
	}
}

// Connect opens a connection to the acceptor of a selected host.
func (d *Delegator) Connect(ctx context.Context, host verbenastand.Host, origin verbenastand.Origin) (net.Conn, error) {
	return d.config.Tunnel(ctx, host, origin)
}
