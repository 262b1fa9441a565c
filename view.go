package verbenastand

import (
	"context"
	"maps"
	"slices"
)

// View is an immutable snapshot of a host's replica of the configuration store.
type View struct {
	revision Revision
	table    *RouteTable
	servers  map[ServiceName][]Registration
	// evacuated holds the availability zones whose servers get no requests.
	evacuated map[Zone]bool
}

// ViewConfig holds the values of a View.
type ViewConfig struct {
	Revision Revision
	// Table is nil while no route table is known.
	Table *RouteTable
	// Servers holds the registrations of each service, ordered by server name.
	Servers map[ServiceName][]Registration
	// Evacuated holds the availability zones whose servers get no requests.
	Evacuated map[Zone]bool
}

// NewView returns a view that keeps the maps; the caller must not change them
// afterwards.
func NewView(c ViewConfig) *View {
	return &View{revision: c.Revision, table: c.Table, servers: c.Servers, evacuated: c.Evacuated}
}

// Revision returns the revision up to which the view is complete.
func (v *View) Revision() Revision { return v.revision }

// Table returns the route table in effect, nil if none is known.
func (v *View) Table() *RouteTable { return v.table }

// Servers returns the registrations of a service, including those of draining
// servers. The caller must not change the slice.
func (v *View) Servers(n ServiceName) []Registration { return v.servers[n] }

// ServiceNames returns the services that have servers.
func (v *View) ServiceNames() []ServiceName {
	names := make([]ServiceName, 0, len(v.servers))
	for n := range v.servers {
		names = append(names, n)
	}
	return names
}

// RelayTransport sends the messages that distribute store changes among the hosts.
type RelayTransport interface {
	// Relay sends a message and returns the peer's response.
	Relay(ctx context.Context, peer Host, message []byte) ([]byte, error)
}

// Evacuated reports whether the servers of an availability zone get no requests.
func (v *View) Evacuated(z Zone) bool { return v.evacuated[z] }

// EvacuatedZones returns the number of availability zones whose servers get no requests.
func (v *View) EvacuatedZones() int { return len(v.evacuated) }

// EvacuatedZoneNames returns these zones in order.
func (v *View) EvacuatedZoneNames() []Zone { return slices.Sorted(maps.Keys(v.evacuated)) }

// ServersIn returns the number of registered servers in an availability zone.
func (v *View) ServersIn(z Zone) (n int) {
	for _, servers := range v.servers {
		for _, r := range servers {
			if r.Zone() == z {
				n++
			}
		}
	}
	return n
}
