package verbenastand

import (
	"strings"
	"time"
)

// RouteName identifies a route of the route table.
type RouteName string

// TableVersion is the version of a route table. A higher version is newer.
type TableVersion uint64

// RetrySafety specifies whether the requests of a route may run more than once.
type RetrySafety int

const (
	// AtMostOnce requests must not run twice.
	AtMostOnce RetrySafety = iota // atMostOnce
	// Idempotent requests may run more than once.
	Idempotent // idempotent
	// Bulk requests are idempotent and have large responses.
	Bulk // bulk
)

// WeightedService is one destination of a route's traffic split: a service and its
// weight.
type WeightedService struct {
	service ServiceName
	weight  int
}

// NewWeightedService returns one destination of a traffic split. It gets the
// fraction of the route's requests that is its weight divided by the sum of the
// route's weights.
func NewWeightedService(service ServiceName, weight int) WeightedService {
	return WeightedService{service: service, weight: min(weight, MaxWeight)}
}

// Service returns the destination service.
func (w WeightedService) Service() ServiceName { return w.service }

// Weight returns the weight of the destination.
func (w WeightedService) Weight() int { return w.weight }

// Route maps requests with a host name and path prefix to services.
type Route struct{ c RouteConfig }

// RouteConfig holds the values of a Route.
type RouteConfig struct {
	Name RouteName
	// HostName is compared with the Host header field without its port.
	HostName string
	// PathPrefix begins and ends with a slash.
	PathPrefix  string
	RetrySafety RetrySafety
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Target is the response time that callers expect.
	Target time.Duration
	// MaxAttempts limits the number of servers to which one request is sent.
	MaxAttempts int
	// PriorityLevel is the priority of the route; 0 is the highest.
	PriorityLevel int
	// Split holds the services among which requests are split, at least one.
	Split []WeightedService
	// Regions are the regions in which the requests may run.
	Regions Regions
}

// NewRoute returns a route.
func NewRoute(c RouteConfig) Route { return Route{c: c.bounded()} }

// Name returns the name of the route.
func (r Route) Name() RouteName { return r.c.Name }

// HostName returns the host name that the route matches.
func (r Route) HostName() string { return r.c.HostName }

// PathPrefix returns the path prefix that the route matches.
func (r Route) PathPrefix() string { return r.c.PathPrefix }

// RetrySafety returns whether the requests may run more than once.
func (r Route) RetrySafety() RetrySafety { return r.c.RetrySafety }

// Retryable reports whether a request may run more than once.
func (r Route) Retryable() bool { return r.c.RetrySafety != AtMostOnce }

// Timeout returns the longest time that a request may take.
func (r Route) Timeout() time.Duration { return r.c.Timeout }

// Target returns the response time that callers expect.
func (r Route) Target() time.Duration { return r.c.Target }

// MaxAttempts returns the maximum number of servers to which one request is sent.
func (r Route) MaxAttempts() int { return r.c.MaxAttempts }

// PriorityLevel returns the priority of the route; 0 is the highest.
func (r Route) PriorityLevel() int { return r.c.PriorityLevel }

// Split returns the services among which requests are split. The caller must not
// change the slice.
func (r Route) Split() []WeightedService { return r.c.Split }

// Regions returns the regions in which the requests may run.
func (r Route) Regions() Regions { return r.c.Regions }

// CallerLimits holds limits on the requests and connections of callers.
type CallerLimits struct {
	// HeaderBytes limits the size of a request header.
	HeaderBytes int
	// BodyBytes limits the size of a request body.
	BodyBytes int64
	// HeaderTimeout limits the time between the first and last byte of a header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
}

// ServiceSettings holds the operators' settings of a service.
type ServiceSettings struct {
	// HealthPath is the path of the servers' health check.
	HealthPath string
	// MaxConnections is the number of connections that one server accepts from
	// all hosts together.
	MaxConnections int
	// WarmupRate is the number of requests per second that a server takes from all hosts
	// together until it is warm; zero if there is no limit.
	WarmupRate RequestRate
}

// RouteTable is one immutable version of all routes.
type RouteTable struct {
	version  TableVersion
	routes   []Route
	services map[ServiceName]ServiceSettings
	limits   CallerLimits
}

// RouteTableConfig holds the values of a RouteTable.
type RouteTableConfig struct {
	Version  TableVersion
	Routes   []Route
	Services map[ServiceName]ServiceSettings
	Limits   CallerLimits
}

// NewRouteTable returns a route table that keeps the slice and the map; the caller
// must not change them afterwards.
func NewRouteTable(c RouteTableConfig) *RouteTable {
	return &RouteTable{version: c.Version, routes: c.Routes, services: c.Services, limits: c.Limits.bounded()}
}

// Version returns the version of the table.
func (t *RouteTable) Version() TableVersion { return t.version }

// Routes returns all routes. The caller must not change the slice.
func (t *RouteTable) Routes() []Route { return t.routes }

// Restricted returns the number of routes whose requests may run in some regions only.
func (t *RouteTable) Restricted() (n int) {
	if t == nil {
		return 0
	}
	for _, r := range t.routes {
		if r.Regions().Restricted() {
			n++
		}
	}
	return n
}

// Service returns the settings of a service, and whether the table contains it.
func (t *RouteTable) Service(n ServiceName) (ServiceSettings, bool) {
	s, ok := t.services[n]
	return s, ok
}

// Services returns the settings of all services. The caller must not change the
// map.
func (t *RouteTable) Services() map[ServiceName]ServiceSettings { return t.services }

// Limits returns the limits on callers.
func (t *RouteTable) Limits() CallerLimits { return t.limits }

// NormalizeHostName returns the host name in a Host header field, without its port
// and in lower case.
func NormalizeHostName(field string) string {
	name, _, _ := strings.Cut(field, ":")
	return strings.ToLower(name)
}
