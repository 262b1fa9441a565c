package forwarder

import (
	"net/http"

	"github.com/verbenastand/verbenastand/internal/bounder"
)

// streamMemory is what a request of a peer takes beside its header: goroutines and the buffers of
// its stream.
const streamMemory = 40 << 10

//go:generate go tool stringer -type=Refusal -linecomment -output=refusal_string.go

// Refusal is the reason for which a client of the peer port is refused.
type Refusal int

// Reasons of refusals.
const (
	// TooManyHandshakes means that too many clients without a certificate of the deployment are
	// connecting.
	TooManyHandshakes Refusal = iota // tooManyHandshakes
	// NoMemory means that there is no memory for a request of a peer.
	NoMemory // noMemory
)

// maxStreams returns the number of concurrent requests that a peer may send: as many as there is
// memory for.
func (s *Server) maxStreams() int64 {
	if s.config.Memory == nil {
		return maxStreams
	}
	return min(maxStreams, max(minStreams, s.config.Memory.Size()/streamMemory))
}

// minStreams is the least number of concurrent requests that each peer may send.
const minStreams = 64

// serveCharged serves a request of a peer, whose header and stream are charged meanwhile. Messages
// between hosts have a share of their own, so that requests of callers don't keep them out.
func (s *Server) serveCharged(w http.ResponseWriter, r *http.Request) {
	if s.config.Memory == nil {
		s.ServeHTTP(w, r)
		return
	}
	key := hostOf(r.RemoteAddr)
	if !forCaller(r) {
		key += messageShare
	}
	share := s.config.Memory.Open(key)
	defer share.Close()
	cost := streamMemory + bounder.HeaderCost(r.Header)
	if !share.Take(cost) {
		s.memoryRefused.Add(1)
		s.config.OnRefusal(r.RemoteAddr, NoMemory)
		s.refuse(w, r)
		return
	}
	defer share.Return(cost)
	s.ServeHTTP(w, r)
}

// messageShare distinguishes the share of messages of a host from that of its callers' requests.
const messageShare = " messages"

// forCaller reports whether a peer sends a request on behalf of a caller.
func forCaller(r *http.Request) bool {
	purpose := r.Header.Get(purposeHeader)
	return purpose == purposeForward || purpose == purposeTunnel
}

// refuse refuses a request for which no memory is left, with a response from which its host can determine whether it
// may have run.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(purposeHeader) == purposeForward && s.config.Refuse != nil {
		s.config.Refuse(w, r)
		return
	}
	http.Error(w, "no memory is left for requests of this host", http.StatusServiceUnavailable)
}

// Handshakes returns the number of handshakes in progress.
func (s *Server) Handshakes() int64 { return s.handshakes.inProgress() }

// Refused returns how many handshakes, and requests of peers, were refused.
func (s *Server) Refused() int64 { return s.handshakes.refused.Load() + s.memoryRefused.Load() }
