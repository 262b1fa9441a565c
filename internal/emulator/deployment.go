// Package emulator emulates the environment of the system for tests and
// demonstrations: the platform, backend servers and callers. It is not part of the
// shipped binary.
package emulator

import (
	"fmt"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/merger"
)

// DeploymentService describes one service of a deployment.
type DeploymentService struct {
	// Name is the name of the service, Servers the number of its backend servers.
	Name    verbenastand.ServiceName
	Servers int
	// Weight is the service's share of all requests, relative to the sum of the
	// weights.
	Weight int
	// Mean is the mean duration of a short request at a server.
	Mean time.Duration
	// LongShare is the fraction of requests that take LongFactor times as long.
	LongShare  float64
	LongFactor int
	// NonIdempotentShare is the fraction of requests that are non-idempotent.
	NonIdempotentShare float64
	RequireKey         bool
	// Background is set if all requests to the service have background priority.
	Background bool
}

// Deployment lists the zones and services of a deployment.
type Deployment struct {
	Name     string
	Zones    []verbenastand.Zone
	Services []DeploymentService
}

// Slots is the number of requests that a backend server runs concurrently.
const Slots = 6

// Qalib returns the lending deployment.
func Qalib() Deployment {
	return Deployment{
		Name: "qalib", Zones: []verbenastand.Zone{"cairo", "giza", "tanta", "mansoura"},
		Services: []DeploymentService{
			{Name: "catalogue", Servers: 12, Weight: 50, Mean: 8 * time.Millisecond},
			{Name: "bookings", Servers: 8, Weight: 20, Mean: 10 * time.Millisecond, NonIdempotentShare: 0.6, RequireKey: true},
			{Name: "patterns", Servers: 8, Weight: 15, Mean: 8 * time.Millisecond, LongShare: 0.05, LongFactor: 20},
			{Name: "ledger", Servers: 8, Weight: 15, Mean: 8 * time.Millisecond},
		},
	}
}

// Tsela returns the survey deployment.
func Tsela() Deployment {
	return Deployment{
		Name: "tsela", Zones: []verbenastand.Zone{"midrand", "centurion", "isando"},
		Services: []DeploymentService{
			{Name: "defectview", Servers: 11, Weight: 50, Mean: 8 * time.Millisecond, LongShare: 0.04, LongFactor: 20},
			{Name: "runledger", Servers: 7, Weight: 15, Mean: 10 * time.Millisecond, NonIdempotentShare: 0.6, RequireKey: true},
			{Name: "roadreel", Servers: 6, Weight: 15, Mean: 10 * time.Millisecond, LongShare: 0.3, LongFactor: 15},
			{Name: "condarchive", Servers: 8, Weight: 20, Mean: 8 * time.Millisecond, Background: true},
		},
	}
}

// DeploymentByName returns the deployment with the given name.
func DeploymentByName(name string) (Deployment, error) {
	switch name {
	case "qalib":
		return Qalib(), nil
	case "tsela":
		return Tsela(), nil
	}
	return Deployment{}, fmt.Errorf("emulator: unknown shape %q: want qalib or tsela", name)
}

// Reduced returns a copy of the deployment with at most the given numbers of
// servers per service and of zones.
func (d Deployment) Reduced(servers, zones int) Deployment {
	d.Zones = d.Zones[:min(zones, len(d.Zones))]
	services := make([]DeploymentService, len(d.Services))
	copy(services, d.Services)
	for i := range services {
		services[i].Servers = min(services[i].Servers, servers)
	}
	d.Services = services
	return d
}

// ServerName returns the name of a server of a service.
func ServerName(service verbenastand.ServiceName, index int) verbenastand.ServerID {
	return verbenastand.ServerID(fmt.Sprintf("%s-%d", service, index))
}

// Ticket returns the ticket that creates all services and servers. Address returns
// the address of a server.
func (d Deployment) Ticket(number verbenastand.TicketNumber, address func(verbenastand.ServerID) string) merger.Ticket {
	t := merger.Ticket{Number: number}
	for _, service := range d.Services {
		object := merger.ServiceObject{Name: service.Name, Timeout: "5s", RequireKey: service.RequireKey}
		if service.LongShare > 0 {
			object.Rules = append(object.Rules, merger.RuleObject{PathPrefix: "/long/", Size: "long"})
		}
		if service.Background {
			object.Rules = append(object.Rules, merger.RuleObject{PathPrefix: "/", Priority: "background"})
		}
		t.Services = append(t.Services, object)
		for i := range service.Servers {
			id := ServerName(service.Name, i)
			t.Servers = append(t.Servers, merger.ServerObject{
				ID: id, Service: service.Name, Zone: d.Zones[i%len(d.Zones)],
				Address: address(id), Slots: Slots, Connections: 200,
			})
		}
	}
	return t
}
