// Package router finds the route of a request by host name and longest path
// prefix, and splits the requests of a route among services.
package router

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"

	verbenastand "github.com/verbenastand/verbenastand"
)

// goldenRatioStep is 2^64 divided by the golden ratio. Its multiples modulo 2^64 are
// evenly distributed however few of them are taken (additive recurrence, Kronecker
// sequence), so that a split matches its weights after a few requests.
const goldenRatioStep = 0x9E3779B97F4A7C15

// Router holds the current routes. Lookups take no lock.
type Router struct {
	current atomic.Pointer[index]
}

// index is a route table prepared for lookups.
type index struct {
	table      *verbenastand.RouteTable
	byHostName map[string][]*Match
}

// Match is a route with the state of its traffic split.
type Match struct {
	route       verbenastand.Route
	totalWeight uint64
	sequence    *atomic.Uint64
}

// NewRouter returns a router without routes.
func NewRouter() *Router { return &Router{} }

// Update makes a table the current one. A route whose split did not change keeps
// its position in the sequence.
func (r *Router) Update(t *verbenastand.RouteTable) {
	old := r.current.Load()
	if t == nil || (old != nil && old.table == t) {
		return
	}
	previous := make(map[verbenastand.RouteName]*Match)
	if old != nil {
		for _, list := range old.byHostName {
			for _, m := range list {
				previous[m.route.Name()] = m
			}
		}
	}
	idx := &index{table: t, byHostName: make(map[string][]*Match)}
	for _, route := range t.Routes() {
		m := newMatch(route, previous[route.Name()])
		hostName := verbenastand.NormalizeHostName(route.HostName())
		idx.byHostName[hostName] = append(idx.byHostName[hostName], m)
	}
	for _, list := range idx.byHostName {
		slices.SortFunc(list, func(a, b *Match) int {
			return cmp.Compare(len(b.route.PathPrefix()), len(a.route.PathPrefix()))
		})
	}
	r.current.Store(idx)
}

func newMatch(route verbenastand.Route, previous *Match) *Match {
	m := &Match{route: route}
	for _, p := range route.Split() {
		m.totalWeight += uint64(p.Weight())
	}
	if previous != nil && slices.Equal(previous.route.Split(), route.Split()) {
		m.sequence = previous.sequence
		return m
	}
	m.sequence = &atomic.Uint64{}
	m.sequence.Store(rand.Uint64())
	return m
}

// Table returns the current table, nil if there is none.
func (r *Router) Table() *verbenastand.RouteTable {
	if c := r.current.Load(); c != nil {
		return c.table
	}
	return nil
}

// Find returns the route with the longest matching path prefix among those of the
// host name.
func (r *Router) Find(hostHeader, path string) (*Match, bool) {
	c := r.current.Load()
	if c == nil {
		return nil, false
	}
	for _, m := range c.byHostName[verbenastand.NormalizeHostName(hostHeader)] {
		if strings.HasPrefix(path, m.route.PathPrefix()) {
			return m, true
		}
	}
	return nil, false
}

// Route returns the matched route.
func (m *Match) Route() verbenastand.Route { return m.route }

// NextService returns the service that serves the next request of the route.
func (m *Match) NextService() verbenastand.ServiceName {
	split := m.route.Split()
	if len(split) == 1 {
		return split[0].Service()
	}
	return m.serviceAt(m.sequence.Add(goldenRatioStep))
}

// PeekService returns the service that would serve the next request of the route.
func (m *Match) PeekService() verbenastand.ServiceName {
	return m.serviceAt(m.sequence.Load() + goldenRatioStep)
}

// serviceAt returns the service at a position of the sequence.
func (m *Match) serviceAt(sequence uint64) verbenastand.ServiceName {
	split := m.route.Split()
	position := float64(sequence) / math.MaxUint64 * float64(m.totalWeight)
	for _, p := range split {
		position -= float64(p.Weight())
		if position < 0 {
			return p.Service()
		}
	}
	return split[len(split)-1].Service()
}
