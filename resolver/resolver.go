// Package resolver selects the hosts that a caller is to use: those of its
// availability zone, supplemented by hosts of other zones if there are too few.
package resolver

import (
	"math/rand/v2"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// minHosts is the number of hosts that a response contains if there are enough, so
// that callers have an alternative when one host fails.
const minHosts = 3

// validityJitter is the fraction by which the validity of responses varies, so
// that callers do not repeat the lookup at the same time.
const validityJitter = 0.2

// Config holds the dependencies and settings of a Resolver.
type Config struct {
	Membership interface{ Hosts() []verbenastand.Host }
	// Serving reports whether this host may be among the selected hosts.
	Serving func() bool
	Self    verbenastand.Host
	// Validity is how long a caller may use a response.
	Validity time.Duration
}

// Resolver selects hosts for callers.
type Resolver struct{ config Config }

// NewResolver returns a resolver.
func NewResolver(c Config) *Resolver { return &Resolver{config: c} }

// Resolve returns the addresses of hosts for a caller in an availability zone, and
// how long they are valid.
func (r *Resolver) Resolve(zone verbenastand.Zone) (addresses []string, validity time.Duration) {
	var sameZone, otherZones []string
	for _, h := range r.config.Membership.Hosts() {
		if h.Leaving() || (h.ID() == r.config.Self.ID() && !r.config.Serving()) {
			continue
		}
		if h.Zone() == zone {
			sameZone = append(sameZone, h.CallAddress())
			continue
		}
		otherZones = append(otherZones, h.CallAddress())
	}
	shuffle(sameZone)
	shuffle(otherZones)
	if missing := minHosts - len(sameZone); missing > 0 {
		sameZone = append(sameZone, otherZones[:min(missing, len(otherZones))]...)
	}
	jitter := 1 - validityJitter*rand.Float64()
	return sameZone, time.Duration(jitter * float64(r.config.Validity)).Round(time.Millisecond)
}

func shuffle(list []string) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
