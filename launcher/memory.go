package launcher

import (
	"runtime/debug"

	"github.com/apex/log"

	"github.com/verbenastand/verbenastand/deduplicator"
	"github.com/verbenastand/verbenastand/forwarder"
	"github.com/verbenastand/verbenastand/internal/admitter"
	"github.com/verbenastand/verbenastand/internal/bounder"
	"github.com/verbenastand/verbenastand/meter"
)

const (
	// defaultMemoryMB is the memory of a host if it is not known.
	defaultMemoryMB = 256
	// callerShare is the part of a host's memory that is held for callers. The collector
	// lets the heap grow to twice of what is in use, and routes, servers and peers take
	// 20 to 40 MB.
	callerShare = 0.25
	// responsePart is the part of the memory for callers that responses may take. Buffers of
	// responses of unknown length are copied as they grow.
	responsePart = 2
	// keyShare is the part of a host's memory for outcomes of requests with idempotency keys.
	keyShare = 0.125
	// peerShare is the part of a host's memory for the requests of other hosts.
	peerShare = 0.125
	// platformShare is the part of a host's memory that a response of the platform may have. It is copied
	// as it grows, and decoded.
	platformShare = 0.0625
	// collectorShare is the part of a host's memory from which on the collector runs more
	// often. It bounds no use of memory, only what is no longer used.
	collectorShare = 0.65
	// Parts of the file descriptors for connections of callers and for requests, each of
	// which has one connection to a server, sometimes two. The others are left for idle
	// connections to servers, the other ports and files.
	connectionsPart, requestsPart = 2, 4
	// portConnectionsPart is the part of the file descriptors for the connections of each of
	// the other ports.
	portConnectionsPart = 16
)

// callerMemory returns the shares of the memory that is held for callers of a host with the
// memory given in MB, zero if that is unknown.
func callerMemory(memoryMB float64) *bounder.Shares {
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	} else {
		debug.SetMemoryLimit(int64(memoryMB * collectorShare * (1 << 20)))
	}
	return bounder.NewShares(int64(memoryMB * callerShare * (1 << 20)))
}

// keyMemory returns the memory for the outcomes of requests with idempotency keys on a host with
// the memory given in MB, zero for the default if that is unknown.
func keyMemory(memoryMB float64) int {
	return min(deduplicator.DefaultMaxBytes, int(memoryMB*keyShare*(1<<20)))
}

// peerMemory returns the shares of the memory for requests of other hosts on a host with the
// memory given in MB, nil if that is unknown: they aren't bounded then.
func peerMemory(memoryMB float64) *bounder.Shares {
	if memoryMB == 0 {
		return nil
	}
	return bounder.NewShares(int64(memoryMB * peerShare * (1 << 20)))
}

// platformMemory returns the largest response of the platform in bytes on a host with the memory given in MB,
// zero for the default if that is unknown.
func platformMemory(memoryMB float64) int64 { return int64(memoryMB * platformShare * (1 << 20)) }

// registerPeerPort registers the metrics of the port for other hosts.
func registerPeerPort(m *meter.Meter, s *forwarder.Server) {
	m.Gauge("peer_handshakes", "Handshakes in progress on the peer port.", func() float64 { return float64(s.Handshakes()) })
	m.Counter("peer_refused_total", "Handshakes and requests refused on the peer port.", func() float64 { return float64(s.Refused()) })
}

// logPeerRefusal returns a function that logs that a client of the peer port is refused. The rate
// of lines is limited by the recorder.
func logPeerRefusal(l log.Interface) func(string, forwarder.Refusal) {
	return func(client string, reason forwarder.Refusal) {
		l.WithFields(log.Fields{"peer": client, "reason": reason.String()}).Warn("peerRefused")
	}
}

// boundedRequests returns the number of requests that a host handles at the same time, given
// its settings and its descriptors, zero for no other limit than that of the settings.
func boundedRequests(maxConcurrent, descriptors int) int {
	if descriptors == 0 {
		return 0
	}
	return min(maxConcurrent, max(1, descriptors/requestsPart))
}

// portHeaderBytes bounds headers on the ports that aren't for callers' requests.
const portHeaderBytes = 32 << 10

// registerMemory registers the metrics of the memory that is held for callers.
func registerMemory(m *meter.Meter, memory *bounder.Shares, closed func() int64) {
	m.Gauge("caller_memory_bytes", "Memory held for callers.", func() float64 { return float64(memory.Size() - memory.Left()) })
	m.Gauge("caller_memory_limit_bytes", "Memory that may be held for callers.", func() float64 { return float64(memory.Size()) })
	m.Counter("memory_denied_total", "Times that memory for callers was not available at once.", func() float64 { return float64(memory.Denied()) })
	m.Counter("connections_closed_total", "Connections closed or rejected because there were too many.", func() float64 { return float64(closed()) })
}

// buildPortAdmitters builds the admitters of the ports for lookups, readiness and metrics.
func (g *Gateway) buildPortAdmitters() {
	for range 3 {
		g.ports = append(g.ports, newPortAdmitter(g.memory, g.config.Settings.MaxDescriptors, g.log))
	}
}

// responseMemory returns the bound of the responses that wait for callers that read slowly, in
// addition to their shares: half of the memory for callers if that of the host is known.
func (g *Gateway) responseMemory() int64 {
	if g.config.Settings.MemoryMB == 0 {
		return 0
	}
	return g.memory.Size() / responsePart
}

func (g *Gateway) portConnectionsClosed() int64 {
	sum := int64(0)
	for _, p := range g.ports {
		sum += p.Closed()
	}
	return sum
}

func newPortAdmitter(memory *bounder.Shares, descriptors int, l log.Interface) *admitter.Admitter {
	return admitter.NewAdmitter(admitter.Config{
		Memory: memory, MaxConnections: descriptors / portConnectionsPart, MaxHeader: portHeaderBytes, OnShortage: logShortage(l, memory),
	})
}

// logShortage returns a function that logs that no memory is left for a client. The rate of
// lines is limited by the recorder.
func logShortage(l log.Interface, memory *bounder.Shares) func(string) {
	return func(client string) {
		l.WithFields(log.Fields{"caller": client, "leftBytes": memory.Left()}).Warn("memoryExhausted")
	}
}

// buildAdmitters builds the admitters of the ports for requests and for the API.
func (h *Host) buildAdmitters() {
	h.memory = callerMemory(h.settings.MemoryMB)
	h.callAdmitter = admitter.NewAdmitter(admitter.Config{
		Memory: h.memory, MaxConnections: h.settings.MaxDescriptors / connectionsPart, MaxHeader: h.settings.MaxHeader,
		Refuse: h.dispatcher.RefuseForMemory, OnShortage: logShortage(h.log, h.memory),
	})
	h.apiAdmitter = newPortAdmitter(h.memory, h.settings.MaxDescriptors, h.log)
}
