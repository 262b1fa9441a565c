package verbenastand

// Host describes one host of the deployment, as its peers and the host list
// report it.
type Host struct {
	instance    Instance
	zone        Zone
	callAddress string
	apiAddress  string
	peerAddress string
	leaving     bool
	detached    bool
	linkMbps    int
}

// HostConfig holds the values of a Host.
type HostConfig struct {
	Instance Instance
	Zone     Zone
	// CallAddress is the IP address and port that accepts callers' requests.
	CallAddress string
	// APIAddress is the IP address and port of the API for host lookups and
	// operators.
	APIAddress string
	// PeerAddress is the IP address and UDP port for other hosts.
	PeerAddress string
	// Leaving is set while the host is shutting down and must get no new callers.
	Leaving bool
	// Detached is set while the host reaches no backend server.
	Detached bool
	// LinkMbps is the bandwidth of the host's link in Mbit/s, zero if unknown.
	LinkMbps int
}

// NewHost returns a host.
func NewHost(c HostConfig) Host {
	return Host{
		instance: c.Instance, zone: c.Zone, callAddress: c.CallAddress,
		apiAddress: c.APIAddress, peerAddress: c.PeerAddress, leaving: c.Leaving, detached: c.Detached, linkMbps: c.LinkMbps,
	}
}

// ID returns the name of the host.
func (h Host) ID() HostID { return h.instance.host }

// Instance returns the running instance. Its boot number is zero while unknown.
func (h Host) Instance() Instance { return h.instance }

// Zone returns the availability zone of the host.
func (h Host) Zone() Zone { return h.zone }

// CallAddress returns the address that accepts callers' requests.
func (h Host) CallAddress() string { return h.callAddress }

// APIAddress returns the address of the API for host lookups and operators.
func (h Host) APIAddress() string { return h.apiAddress }

// PeerAddress returns the address for other hosts.
func (h Host) PeerAddress() string { return h.peerAddress }

// Leaving reports whether the host is shutting down and must get no new callers.
func (h Host) Leaving() bool { return h.leaving }

// Detached reports whether the host reaches no backend server.
func (h Host) Detached() bool { return h.detached }

// LinkMbps returns the bandwidth of the host's link in Mbit/s, zero if unknown.
func (h Host) LinkMbps() int { return h.linkMbps }
