// Package forwarder transports forwarded requests and gossip messages between
// hosts over HTTP/3 (QUIC) with mutual TLS.
package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go/http3"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/certifier"
)

const (
	handshakeTimeout = time.Second
	idleTimeout      = 5 * time.Second
	// neighborIdleTimeout is the idle timeout of hosts that close idle connections. It keeps
	// those to neighbors in the gossip protocol, which are used every 2.4 s on average: a
	// handshake transfers more than an exchange.
	neighborIdleTimeout = 15 * time.Second
	keepAlive           = 2 * time.Second
	// retireAfter is how long requests may continue on a replaced connection.
	retireAfter = time.Minute
	// maxStreams is the maximum number of concurrent requests from one peer.
	maxStreams = 10_000
	// purposeHeader distinguishes forwarded requests from messages between hosts.
	purposeHeader    = "Verbenastand-Purpose"
	purposeExchange  = "exchange"
	purposeTickets   = "tickets"
	purposeForward   = "forward"
	purposeHandover  = "handover"
	purposeRelay     = "relay"
	purposeKeepAlive = "keepAlive"
	afterParameter   = "after"
	maxTicketsBytes  = 64 << 20
	maxMessageBytes  = 64 << 10
	maxRelayBytes    = 16 << 20
	maxHeaderBytes   = 64 << 10
	peerScheme       = "https"
	contentTypeField = "Content-Type"
)

// Config configures a Forwarder.
type Config struct {
	Certifier *certifier.Certifier
	// CloseIdle closes connections after a few seconds without traffic. In large
	// deployments each host would otherwise keep a connection to every other.
	CloseIdle bool
}

// peerConn is the connection to one instance of a peer.
type peerConn struct {
	address   string
	boot      uint64
	transport peerTransport
}

// Forwarder sends requests to peers. It implements verbenastand.PeerTransport.
type Forwarder struct {
	config Config

	mu          sync.Mutex
	connections map[string]*peerConn
}

// NewForwarder returns a forwarder without connections.
func NewForwarder(c Config) *Forwarder {
	return &Forwarder{config: c, connections: make(map[string]*peerConn)}
}

// connection returns the connection to a peer, and whether it has been used before. A
// connection to an earlier instance, as known by its boot number, is replaced.
func (f *Forwarder) connection(peer verbenastand.Host) (c *peerConn, used bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	address := peer.PeerAddress()
	boot := peer.Instance().Boot()
	c = f.connections[address]
	if c != nil && (boot == 0 || c.boot == boot || c.boot == 0) {
		c.boot = max(c.boot, boot)
		return c, true
	}
	if c != nil {
		c.retire()
	}
	c = &peerConn{address: address, boot: boot, transport: &http3.Transport{
		QUICConfig: quicConfig(f.config.CloseIdle), DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
		TLSClientConfig: f.config.Certifier.ClientConfig(http3.NextProtoH3),
	}}
	f.connections[address] = c
	return c, false
}

// discard removes a failed connection, so that the next request dials a new one.
func (f *Forwarder) discard(c *peerConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.connections[c.address] == c {
		delete(f.connections, c.address)
		c.retire()
	}
}

// retire closes the connection after retireAfter, so that requests in progress can
// complete.
func (c *peerConn) retire() {
	time.AfterFunc(retireAfter, func() { _ = c.transport.Close() })
}

// Close closes all connections.
func (f *Forwarder) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var errs []error
	for _, c := range f.connections {
		errs = append(errs, c.transport.Close())
	}
	f.connections = make(map[string]*peerConn)
	return errors.Join(errs...)
}

// Exchange sends an encoded gossip message and returns the peer's own.
func (f *Forwarder) Exchange(ctx context.Context, peer verbenastand.Host, message []byte) ([]byte, error) {
	return f.post(ctx, peer, purposeExchange, "", message, maxMessageBytes)
}

// Relay sends a message about the configuration store and returns the peer's
// response.
func (f *Forwarder) Relay(ctx context.Context, peer verbenastand.Host, message []byte) ([]byte, error) {
	return f.post(ctx, peer, purposeRelay, "", message, maxRelayBytes)
}

// Handover sends the exported key tables of this host to a peer.
func (f *Forwarder) Handover(ctx context.Context, peer verbenastand.Host, tables []byte) error {
	_, err := f.post(ctx, peer, purposeHandover, "", tables, maxMessageBytes)
	return err
}

// post sends a message and returns the response. A message may arrive twice: if a
// connection that has been used before fails, for example after a partition, the
// message is sent again on a new one.
func (f *Forwarder) post(ctx context.Context, peer verbenastand.Host, purpose, query string, body []byte, limit int64) ([]byte, error) {
	for {
		c, used := f.connection(peer)
		response, err := f.roundTrip(ctx, c, peer, purpose, query, body)
		if err == nil {
			return readResponse(response, peer, purpose, limit)
		}
		f.discard(c)
		if !used || ctx.Err() != nil {
			return nil, err
		}
	}
}

func (f *Forwarder) roundTrip(ctx context.Context, c *peerConn, peer verbenastand.Host, purpose, query string, body []byte) (*http.Response, error) {
	url := peerScheme + "://" + peer.PeerAddress() + "/?" + query
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("forwarder: %w", err)
	}
	r.Header.Set(purposeHeader, purpose)
	response, err := c.roundTrip(r)
	if err != nil {
		return nil, fmt.Errorf("forwarder: %s with %s: %w", purpose, peer.PeerAddress(), err)
	}
	return response, nil
}

func readResponse(response *http.Response, peer verbenastand.Host, purpose string, limit int64) ([]byte, error) {
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, limit))
	if err != nil {
		return nil, fmt.Errorf("forwarder: %s with %s: %w", purpose, peer.PeerAddress(), err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("forwarder: %s with %s: status %d", purpose, peer.PeerAddress(), response.StatusCode)
	}
	return data, nil
}

// Forward forwards a caller's request to a peer. The verdict of an error is NotRun
// only if there was no connection to the peer.
func (f *Forwarder) Forward(peer verbenastand.Host, r *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	out := r.Clone(httptrace.WithClientTrace(r.Context(), trace))
	out.RequestURI = ""
	out.URL.Scheme = peerScheme
	out.URL.Host = peer.PeerAddress()
	out.Header.Set(purposeHeader, purposeForward)
	c, _ := f.connection(peer)
	response, err := c.roundTrip(out)
	if err == nil {
		return response, nil
	}
	if r.Context().Err() == nil {
		f.discard(c)
	}
	verdict := verbenastand.NotRun
	if connected.Load() || errors.Is(err, verbenastand.ErrInvalidResponse) {
		verdict = verbenastand.MayHaveRun
	}
	return nil, verbenastand.NewRequestError(verdict, verbenastand.ReasonKeyOwnerUnreachable, err)
}

// TicketSource returns a source that reads the tickets of a peer.
func (f *Forwarder) TicketSource(peer verbenastand.Host) verbenastand.TicketSource {
	return peerTicketSource{forwarder: f, peer: peer}
}

type peerTicketSource struct {
	forwarder *Forwarder
	peer      verbenastand.Host
}

// Tickets implements verbenastand.TicketSource. Peers respond without waiting for
// new tickets.
func (p peerTicketSource) Tickets(ctx context.Context, after verbenastand.TicketNumber, _ time.Duration) ([][]byte, error) {
	query := afterParameter + "=" + strconv.FormatUint(uint64(after), 10)
	data, err := p.forwarder.post(ctx, p.peer, purposeTickets, query, nil, maxTicketsBytes)
	if err != nil {
		return nil, err
	}
	var tickets []json.RawMessage
	if err := json.Unmarshal(data, &tickets); err != nil {
		return nil, fmt.Errorf("forwarder: tickets of %s: %w", p.peer.PeerAddress(), err)
	}
	encoded := make([][]byte, len(tickets))
	for i, t := range tickets {
		encoded[i] = t
	}
	return encoded, nil
}
