package verbenastand

import (
	"slices"
	"strings"
)

// Region is a group of availability zones, empty if it is not known.
type Region string

// Bounds of the regions that a route names.
const (
	MaxRegions         = 64
	MaxRegionNameBytes = 256
)

// Regions are the regions in which the requests of a route may run. The zero value is all of
// them. Values are equal if they allow the same regions.
type Regions struct {
	restricted bool
	// names holds the names in order, each followed by a separator.
	names string
}

// regionSeparator is in no valid name.
const regionSeparator = "\x00"

// Valid reports whether the region can be among the regions of a route.
func (r Region) Valid() bool {
	return r != "" && len(r) <= MaxRegionNameBytes && !strings.Contains(string(r), regionSeparator)
}

// NewRegions returns the given regions, without those that are not valid and those beyond
// MaxRegions. If none is left, no region is allowed.
func NewRegions(names []Region) Regions {
	valid := make([]Region, 0, min(len(names), MaxRegions))
	for _, n := range names {
		if n.Valid() && len(valid) < MaxRegions && !slices.Contains(valid, n) {
			valid = append(valid, n)
		}
	}
	slices.Sort(valid)
	r := Regions{restricted: true}
	for _, n := range valid {
		r.names += string(n) + regionSeparator
	}
	return r
}

// Restricted reports whether not all regions are allowed.
func (r Regions) Restricted() bool { return r.restricted }

// Allows reports whether requests may run in a region. One that is not known is allowed only if
// all are.
func (r Regions) Allows(region Region) bool {
	if !r.restricted {
		return true
	}
	for name := range strings.SplitSeq(r.names, regionSeparator) {
		if name != "" && name == string(region) {
			return true
		}
	}
	return false
}

// Names returns the regions that are allowed, in order, if not all are.
func (r Regions) Names() []Region {
	var names []Region
	for name := range strings.SplitSeq(r.names, regionSeparator) {
		if name != "" {
			names = append(names, Region(name))
		}
	}
	return names
}

// ZoneRegions maps availability zones to their regions of availability zones.
type ZoneRegions map[Zone]Region

// Of returns the region of a zone, empty if it is not known.
func (z ZoneRegions) Of(zone Zone) Region { return z[zone] }
