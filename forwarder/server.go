package forwarder

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/certifier"
	"github.com/verbenastand/verbenastand/deduplicator"
	"github.com/verbenastand/verbenastand/internal/bounder"
	"github.com/verbenastand/verbenastand/merger"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Certifier *certifier.Certifier
	// CloseIdle has the same meaning as in Config.
	CloseIdle bool
	// Exchange applies a gossip message and returns this host's own.
	Exchange func(message []byte) ([]byte, error)
	Merger   *merger.Merger
	// Handover imports the key tables of a stopping host.
	Handover func(tables []byte) error
	// ForwardHandler serves a request that a peer forwarded.
	ForwardHandler http.Handler
	// Relay handles a message about the configuration store.
	Relay func(message []byte) ([]byte, error)
	// Tunnel serves a connection over which a peer sends requests of its callers. It
	// returns false if this host accepts none.
	Tunnel func(conn net.Conn, origin verbenastand.Origin) bool
	// Memory is what the requests of peers share; if nil, it isn't bounded.
	Memory *bounder.Shares
	// Refuse responds to a forwarded request for which no memory is left.
	Refuse http.HandlerFunc
	// OnRefusal is called with the address of a client whose handshake is refused, or of a peer
	// for whose request no memory is left; may be nil.
	OnRefusal func(client string, reason Refusal)
}

// Server serves requests of peers.
type Server struct {
	config     ServerConfig
	http3      *http3.Server
	handshakes *handshakes
	// memoryRefused counts the requests of peers that were refused.
	memoryRefused atomic.Int64

	mu sync.Mutex
	// transport is nil until Serve is called.
	transport *quic.Transport
	// responses counts the open tunnels and the forwarded requests that are being handled,
	// and responseEnded is when the last one ended.
	responses     int
	responseEnded time.Time
}

// NewServer returns a server that does nothing until Serve is called.
func NewServer(c ServerConfig) *Server {
	if c.OnRefusal == nil {
		c.OnRefusal = func(string, Refusal) {}
	}
	s := &Server{config: c, handshakes: newHandshakes(func(client string) { c.OnRefusal(client, TooManyHandshakes) })}
	s.http3 = &http3.Server{MaxHeaderBytes: maxHeaderBytes, Handler: http.HandlerFunc(s.serveCharged)}
	return s
}

// Serve serves peers on conn until Close is called.
func (s *Server) Serve(conn net.PacketConn) error {
	transport := &quic.Transport{Conn: conn, VerifySourceAddress: s.handshakes.mustVerify, ConnContext: s.handshakes.begin}
	config := quicConfig(s.config.CloseIdle)
	config.MaxIncomingStreams = s.maxStreams()
	// An early listener would pass on connections before the client has shown its certificate.
	listener, err := transport.Listen(http3.ConfigureTLSConfig(s.config.Certifier.ServerConfig(http3.NextProtoH3)), config)
	if err != nil {
		return fmt.Errorf("forwarder: %w", err)
	}
	s.mu.Lock()
	s.transport = transport
	s.mu.Unlock()
	return s.http3.ServeListener(peerListener{listener})
}

// Close closes all connections.
func (s *Server) Close() error {
	err := s.http3.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.transport == nil {
		return err
	}
	return errors.Join(err, s.transport.Close())
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	purpose := r.Header.Get(purposeHeader)
	if !s.supports(purpose) {
		http.Error(w, "unknown purpose", http.StatusBadRequest)
		return
	}
	switch purpose {
	case purposeExchange:
		s.serveMessage(w, r, maxMessageBytes, s.config.Exchange)
	case purposeHandover:
		s.serveMessage(w, r, deduplicator.MaxHandoverBytes, func(tables []byte) ([]byte, error) {
			return nil, s.config.Handover(tables)
		})
	case purposeTickets:
		s.serveTickets(w, r)
	case purposeForward:
		r.Header.Del(purposeHeader)
		s.beginResponse()
		defer s.endResponse()
		s.config.ForwardHandler.ServeHTTP(w, r)
	case purposeRelay:
		s.serveMessage(w, r, maxRelayBytes, s.config.Relay)
	case purposeTunnel:
		s.serveTunnel(w, r)
	case purposeKeepAlive:
		// The response is traffic on the connection.
	}
}

// supports reports whether the server has a handler for the purpose.
func (s *Server) supports(purpose string) bool {
	switch purpose {
	case purposeExchange:
		return s.config.Exchange != nil
	case purposeHandover:
		return s.config.Handover != nil
	case purposeTickets:
		return s.config.Merger != nil
	case purposeForward:
		return s.config.ForwardHandler != nil
	case purposeRelay:
		return s.config.Relay != nil
	case purposeTunnel:
		return s.config.Tunnel != nil
	case purposeKeepAlive:
		return true
	}
	return false
}

// serveMessage reads a message and responds with the result of handle. A message of
// more than limit+1 bytes is truncated, so that handle fails to decode it.
func (s *Server) serveMessage(w http.ResponseWriter, r *http.Request, limit int64, handle func([]byte) ([]byte, error)) {
	message, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	response, err := handle(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, _ = w.Write(response)
}

func (s *Server) serveTickets(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get(afterParameter), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	encoded, err := s.config.Merger.Since(verbenastand.TicketNumber(after))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tickets := make([]json.RawMessage, len(encoded))
	for i, t := range encoded {
		tickets[i] = t
	}
	w.Header().Set(contentTypeField, "application/json")
	_ = json.NewEncoder(w).Encode(tickets)
}
