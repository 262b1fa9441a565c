package verbenastand

import "time"

// Registration is the entry of a backend server in the configuration store,
// written by the server itself.
type Registration struct{ c RegistrationConfig }

// RegistrationConfig holds the values of a Registration.
type RegistrationConfig struct {
	Server ServerID
	// StartTime is the start time of the server process in Unix milliseconds, zero
	// if the server does not report it.
	StartTime int64
	// Sequence counts the registrations that one server process has sent.
	Sequence uint64
	Service  ServiceName
	Zone     Zone
	// Address is the IP address and port of the server.
	Address string
	// Version is the version of the server's software.
	Version string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	State ServerState
	// Warmup is the time that remains until the server reaches full speed after
	// its start.
	Warmup time.Duration
}

// NewRegistration returns a registration.
func NewRegistration(c RegistrationConfig) Registration { return Registration{c: c} }

// Server returns the name of the server.
func (r Registration) Server() ServerID { return r.c.Server }

// StartTime returns the start time of the server process in Unix milliseconds, zero
// if unknown.
func (r Registration) StartTime() int64 { return r.c.StartTime }

// Sequence returns the number of the registration, counted per server process.
func (r Registration) Sequence() uint64 { return r.c.Sequence }

// Service returns the service that the server offers.
func (r Registration) Service() ServiceName { return r.c.Service }

// Zone returns the availability zone of the server.
func (r Registration) Zone() Zone { return r.c.Zone }

// Address returns the IP address and port of the server.
func (r Registration) Address() string { return r.c.Address }

// Version returns the version of the server's software.
func (r Registration) Version() string { return r.c.Version }

// Slots returns the number of requests that the server runs concurrently.
func (r Registration) Slots() int { return r.c.Slots }

// State returns whether the server accepts new requests.
func (r Registration) State() ServerState { return r.c.State }

// Warmup returns the time that remains until the server reaches full speed.
func (r Registration) Warmup() time.Duration { return r.c.Warmup }

// Process returns the server's process.
func (r Registration) Process() ServerProcess {
	return ServerProcess{Server: r.c.Server, StartTime: r.c.StartTime, Service: r.c.Service, Zone: r.c.Zone}
}

// OlderThan reports whether r was sent before other, by an earlier process of the
// server or earlier by the same process. If a process start time is missing, the
// order of two processes is unknown and r counts as newer.
func (r Registration) OlderThan(other Registration) bool {
	if r.c.StartTime != other.c.StartTime {
		return r.c.StartTime != 0 && other.c.StartTime != 0 && r.c.StartTime < other.c.StartTime
	}
	return r.c.StartTime != 0 && r.c.Sequence < other.c.Sequence
}

// SameProcess reports whether both registrations come from the same server process,
// with the same address and service.
func (r Registration) SameProcess(other Registration) bool {
	return r.c.StartTime == other.c.StartTime && r.c.Address == other.c.Address && r.c.Service == other.c.Service
}
