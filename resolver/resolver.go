// Package resolver selects the hosts that a caller is to use: those of its
// availability zone, supplemented by hosts of other zones if there are too few, those of its
// region first.
package resolver

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// minHosts is the minimum number of hosts in a response, if that many are available,
// so that callers have an alternative when one host fails.
const minHosts = 3

// validityJitter is the largest fraction by which the validity of a response is
// randomly shortened, so that callers do not repeat the lookup at the same time.
const validityJitter = 0.2

// Config holds the dependencies and settings of a Resolver.
type Config struct {
	Membership interface{ Hosts() []verbenastand.Host }
	// Serving reports whether this host may be among the selected hosts.
	Serving func() bool
	Self    verbenastand.Host
	// Evacuated reports whether the servers of an availability zone get no requests; nil if
	// that is never so.
	Evacuated func(verbenastand.Zone) bool
	// Stale returns the hosts without a heartbeat for so long that they may have failed, although they are
	// still considered alive; nil if that is never so.
	Stale func() map[verbenastand.HostID]bool
	// Regions are the regions of availability zones.
	Regions verbenastand.ZoneRegions
	// Validity is how long a caller may use a response.
	Validity time.Duration
}

// Resolver selects hosts for callers.
type Resolver struct{ config Config }

// NewResolver returns a resolver.
func NewResolver(c Config) *Resolver {
	if c.Evacuated == nil {
		c.Evacuated = func(verbenastand.Zone) bool { return false }
	}
	if c.Stale == nil {
		c.Stale = func() map[verbenastand.HostID]bool { return nil }
	}
	return &Resolver{config: c}
}

// Resolve returns the addresses of hosts for a caller in an availability zone, and
// how long they are valid. The region that the caller names counts if that of its zone is not
// known. Callers of an evacuated zone are directed to hosts of other zones:
// each of their requests and its health checks would cross zones otherwise. Stale hosts are only their last alternatives,
// since failures are detected later between zones.
func (r *Resolver) Resolve(zone verbenastand.Zone, named verbenastand.Region) (addresses []string, validity time.Duration) {
	region := cmp.Or(r.config.Regions.Of(zone), named)
	var selected, others, detached, evacuated, stale []verbenastand.Host
	leavesZone := r.config.Evacuated(zone)
	var isStale map[verbenastand.HostID]bool
	if leavesZone {
		isStale = r.config.Stale()
	}
	for _, h := range r.config.Membership.Hosts() {
		if h.Leaving() || (h.ID() == r.config.Self.ID() && !r.config.Serving()) {
			continue
		}
		if h.Detached() {
			detached = append(detached, h)
			continue
		}
		if isStale[h.ID()] {
			stale = append(stale, h)
			continue
		}
		if r.config.Evacuated(h.Zone()) {
			evacuated = append(evacuated, h)
			continue
		}
		if h.Zone() == zone || leavesZone {
			selected = append(selected, h)
			continue
		}
		others = append(others, h)
	}
	r.order(selected, region)
	r.order(others, region)
	r.order(evacuated, region)
	r.order(stale, region)
	others = slices.Concat(others, evacuated, stale)
	if missing := minHosts - len(selected); missing > 0 {
		selected = append(selected, others[:min(missing, len(others))]...)
	}
	if len(selected) == 0 {
		// Hosts that reach no server refuse at once, with a time to come back.
		r.order(detached, region)
		selected = detached
	}
	for _, h := range selected {
		addresses = append(addresses, h.CallAddress())
	}
	jitter := 1 - validityJitter*rand.Float64()
	return addresses, time.Duration(jitter * float64(r.config.Validity)).Round(time.Millisecond)
}

// order puts hosts in random order, those of a region first.
func (r *Resolver) order(list []verbenastand.Host, region verbenastand.Region) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if region == "" {
		return
	}
	rank := func(h verbenastand.Host) int {
		if r.config.Regions.Of(h.Zone()) == region {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b verbenastand.Host) int { return rank(a) - rank(b) })
}
