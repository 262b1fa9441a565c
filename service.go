package verbenastand

import "time"

// Priority orders waiting requests; a lower value is served first.
type Priority int

const (
	// PriorityPaid is for non-idempotent requests with an idempotency key.
	PriorityPaid Priority = iota // paid
	// PriorityNormal is for interactive requests.
	PriorityNormal // normal
	// PriorityBackground is for requests that can wait.
	PriorityBackground // background
)

// PriorityCount is the number of priorities.
const PriorityCount = 3

// Size distinguishes short requests from those that run many times longer.
type Size int

const (
	// Short requests may use every slot.
	Short Size = iota // short
	// Long requests may use a limited number of slots of each server.
	Long // long
)

// SizeCount is the number of sizes.
const SizeCount = 2

// ServerState is the configured state of a backend server.
type ServerState int

const (
	// ServerActive means that the server accepts new requests.
	ServerActive ServerState = iota // active
	// ServerDraining means that the server finishes its requests and accepts no
	// new ones.
	ServerDraining // draining
)

// Rule assigns a priority and optionally a size to requests by method and path.
type Rule struct {
	method     string
	pathPrefix string
	priority   Priority
	size       Size
	hasSize    bool
}

// RuleConfig holds the values of a Rule. If Size is nil, the size is estimated from
// observed durations.
type RuleConfig struct {
	Method     string
	PathPrefix string
	Priority   Priority
	Size       *Size
}

// NewRule returns a rule.
func NewRule(c RuleConfig) Rule {
	r := Rule{method: c.Method, pathPrefix: c.PathPrefix, priority: c.Priority}
	if c.Size != nil {
		r.size = *c.Size
		r.hasSize = true
	}
	return r
}

// Method returns the request method that the rule matches, empty for any.
func (r Rule) Method() string { return r.method }

// PathPrefix returns the path prefix that the rule matches.
func (r Rule) PathPrefix() string { return r.pathPrefix }

// Priority returns the priority given to matching requests.
func (r Rule) Priority() Priority { return r.priority }

// Size returns the size given to matching requests, and whether there is one.
func (r Rule) Size() (Size, bool) { return r.size, r.hasSize }

// Service is the configuration of one service, as defined by a ticket.
type Service struct {
	name       ServiceName
	timeout    time.Duration
	longSlots  int
	requireKey bool
	homes      int
	rules      []Rule
}

// ServiceConfig holds the values of a Service.
type ServiceConfig struct {
	Name ServiceName
	// Timeout limits requests that specify no deadline.
	Timeout time.Duration
	// LongSlots is the number of slots of a server that long requests may hold.
	LongSlots int
	// RequireKey makes an idempotency key mandatory for non-idempotent requests.
	RequireKey bool
	// Homes is the number of home hosts, which are the hosts that rendezvous
	// hashing selects to serve the service.
	Homes int
	Rules []Rule
}

// NewService returns a service.
func NewService(c ServiceConfig) Service {
	return Service{
		name: c.Name, timeout: c.Timeout, longSlots: c.LongSlots,
		requireKey: c.RequireKey, homes: c.Homes, rules: c.Rules,
	}
}

// Name returns the name of the service.
func (s Service) Name() ServiceName { return s.name }

// Timeout returns the limit for requests that specify no deadline.
func (s Service) Timeout() time.Duration { return s.timeout }

// LongSlots returns the number of slots of a server that long requests may hold.
func (s Service) LongSlots() int { return s.longSlots }

// RequireKey reports whether non-idempotent requests need an idempotency key.
func (s Service) RequireKey() bool { return s.requireKey }

// Homes returns the number of home hosts of the service.
func (s Service) Homes() int { return s.homes }

// Rules returns the rules in matching order.
func (s Service) Rules() []Rule { return s.rules }

// Server is the configuration of one backend server.
type Server struct {
	id          ServerID
	service     ServiceName
	zone        Zone
	address     string
	slots       int
	connections int
	state       ServerState
	ticket      TicketNumber
}

// ServerConfig holds the values of a Server.
type ServerConfig struct {
	ID      ServerID
	Service ServiceName
	Zone    Zone
	// Address is the IP address and port of the server.
	Address string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Connections is the number of connections that the server accepts from all
	// hosts together.
	Connections int
	State       ServerState
	// Ticket is the number of the ticket that defined this state.
	Ticket TicketNumber
}

// Process returns the server's process, without a start time: a ticket does not tell it.
func (s Server) Process() ServerProcess {
	return ServerProcess{Server: s.id, Service: s.service, Zone: s.zone}
}

// NewServer returns a backend server.
func NewServer(c ServerConfig) Server {
	return Server{
		id: c.ID, service: c.Service, zone: c.Zone, address: c.Address,
		slots: c.Slots, connections: c.Connections, state: c.State, ticket: c.Ticket,
	}
}

// ID returns the name of the server.
func (s Server) ID() ServerID { return s.id }

// Service returns the service that the server offers.
func (s Server) Service() ServiceName { return s.service }

// Zone returns the availability zone of the server.
func (s Server) Zone() Zone { return s.zone }

// Address returns the IP address and port of the server.
func (s Server) Address() string { return s.address }

// Slots returns the number of requests that the server runs concurrently.
func (s Server) Slots() int { return s.slots }

// Connections returns the number of connections that the server accepts from all
// hosts together.
func (s Server) Connections() int { return s.connections }

// State returns the configured state of the server.
func (s Server) State() ServerState { return s.state }

// Ticket returns the number of the ticket that defined this state.
func (s Server) Ticket() TicketNumber { return s.ticket }
