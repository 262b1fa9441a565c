package launcher

import (
	"runtime/debug"

	"github.com/verbenastand/verbenastand/internal/bounder"
)

const (
	// defaultMemoryMB is the memory of a host if it is not known.
	defaultMemoryMB = 256
	// callerShare is the part of a host's memory that is held for callers. The collector
	// lets the heap grow to twice of what is in use, and routes, servers and peers take
	// 20 to 40 MB.
	callerShare = 0.25
	// collectorShare is the part of a host's memory from which on the collector runs more
	// often. It bounds no use of memory, only what is no longer used.
	collectorShare = 0.75
	// Parts of the file descriptors for connections of callers and for requests, each of
	// which has one connection to a server, sometimes two. The others are left for idle
	// connections to servers, the other ports and files.
	connectionsPart, requestsPart = 2, 4
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

// boundedRequests returns the number of requests that a host handles at the same time, given
// its settings and its descriptors, zero for no other limit than that of the settings.
func boundedRequests(maxConcurrent, descriptors int) int {
	if descriptors == 0 {
		return 0
	}
	return min(maxConcurrent, max(1, descriptors/requestsPart))
}

func (g *Gateway) registerMemory() {
	g.meter.Gauge("caller_memory_bytes", "Memory held for callers.", func() float64 { return float64(g.memory.Size() - g.memory.Left()) })
	g.meter.Gauge("caller_memory_limit_bytes", "Memory that may be held for callers.", func() float64 { return float64(g.memory.Size()) })
	g.meter.Counter("memory_denied_total", "Times that memory for callers was not available at once.", func() float64 { return float64(g.memory.Denied()) })
	g.meter.Counter("connections_closed_total", "Connections closed or rejected because there were too many.", func() float64 {
		return float64(g.acceptor.Closed())
	})
}
