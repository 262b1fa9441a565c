package verbenastand

// TicketNumber identifies a change ticket, which is a numbered update of the
// configuration. A higher number is newer.
type TicketNumber uint64

// Configuration is an immutable snapshot of the services and backend servers
// that the tickets in effect define.
type Configuration struct {
	number   TicketNumber
	digest   uint64
	services map[ServiceName]Service
	servers  map[ServiceName][]Server
}

// ConfigurationConfig holds the values of a Configuration.
type ConfigurationConfig struct {
	// Number is the highest ticket number in effect.
	Number TicketNumber
	// Digest is a checksum that is equal on hosts that hold the same objects.
	Digest   uint64
	Services map[ServiceName]Service
	// Servers holds the servers of each service, ordered by their names.
	Servers map[ServiceName][]Server
}

// NewConfiguration returns a Configuration that keeps the maps; the caller must
// not change them afterwards.
func NewConfiguration(c ConfigurationConfig) *Configuration {
	return &Configuration{number: c.Number, digest: c.Digest, services: c.Services, servers: c.Servers}
}

// Number returns the highest ticket number in effect.
func (c *Configuration) Number() TicketNumber { return c.number }

// Digest returns a checksum that is equal on hosts that hold the same objects.
func (c *Configuration) Digest() uint64 { return c.digest }

// Service returns the service with the given name, and whether it exists.
func (c *Configuration) Service(n ServiceName) (Service, bool) {
	s, ok := c.services[n]
	return s, ok
}

// Services returns all services. The caller must not change the map.
func (c *Configuration) Services() map[ServiceName]Service { return c.services }

// Servers returns the servers of a service, ordered by name. The caller must
// not change the slice.
func (c *Configuration) Servers(n ServiceName) []Server { return c.servers[n] }

// ServerCount returns the total number of servers of all services.
func (c *Configuration) ServerCount() int {
	total := 0
	for _, s := range c.servers {
		total += len(s)
	}
	return total
}
