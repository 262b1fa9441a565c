package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	purposeTunnel  = "tunnel"
	callerHeader   = "Verbenastand-Caller"
	attemptsHeader = verbenastand.HeaderAttempt
	// tunnelBuffer is the size of each of the two buffers of a tunnel.
	tunnelBuffer = 16 << 10
	// arrivalTime is how long what was sent to a peer may take to arrive, with a few
	// retransmissions.
	arrivalTime       = 300 * time.Millisecond
	arrivalPollPeriod = 10 * time.Millisecond
)

// Tunnel opens a connection to the acceptor of a peer on behalf of a caller. Nothing is
// sent over it before the peer has accepted it, so after an error nothing has run.
func (f *Forwarder) Tunnel(ctx context.Context, peer verbenastand.Host, origin verbenastand.Origin) (net.Conn, error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	body, toPeer := io.Pipe()
	c, _ := f.connection(peer)
	response, err := f.openTunnel(streamCtx, c, peer, origin, body)
	if !stop() && err == nil {
		err = context.Cause(ctx)
		_ = response.Body.Close()
	}
	if err != nil {
		cancel()
		_ = toPeer.Close()
		return nil, err
	}
	if f.config.CloseIdle {
		go f.keepAlive(streamCtx, cancel, c, peer)
	}
	near, far := net.Pipe()
	go func() {
		copyTunnel(toPeer, far)
		_ = toPeer.Close()
		// A request of which the sender expects no more is cancelled at the peer.
		cancel()
	}()
	go func() {
		copyTunnel(far, response.Body)
		_ = response.Body.Close()
		_ = far.Close()
	}()
	return near, nil
}

func (f *Forwarder) openTunnel(ctx context.Context, c *peerConn, peer verbenastand.Host, origin verbenastand.Origin, body io.Reader) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, peerScheme+"://"+peer.PeerAddress()+"/", io.NopCloser(body))
	if err != nil {
		return nil, fmt.Errorf("forwarder: %w", err)
	}
	r.ContentLength = -1
	r.Header.Set(purposeHeader, purposeTunnel)
	r.Header.Set(verbenastand.HeaderHost, string(origin.Host))
	r.Header.Set(callerHeader, origin.Caller)
	r.Header.Set(verbenastand.HeaderService, string(origin.Service))
	r.Header.Set(attemptsHeader, strconv.Itoa(origin.Attempts))
	if origin.Route != nil {
		route, err := encodeRoute(*origin.Route, origin.Table)
		if err != nil {
			return nil, err
		}
		r.Header.Set(routeHeader, route)
	}
	if len(origin.Losses) > 0 {
		losses, err := encodeLosses(origin.Losses, time.Now())
		if err != nil {
			return nil, err
		}
		r.Header.Set(lossesHeader, losses)
	}
	response, err := c.roundTrip(r)
	if err != nil {
		if ctx.Err() == nil {
			f.discard(c)
		}
		return nil, fmt.Errorf("forwarder: tunnel to %s: %w", peer.PeerAddress(), err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("forwarder: tunnel to %s: status %d", peer.PeerAddress(), response.StatusCode)
	}
	return response, nil
}

// keepAlive sends messages over the connection of a tunnel until ctx is done. It would otherwise
// be closed as idle while the peer waits for a server. If the peer no longer responds, the tunnel
// ends sooner than by the idle timeout.
func (f *Forwarder) keepAlive(ctx context.Context, end context.CancelFunc, c *peerConn, peer verbenastand.Host) {
	ticker := time.NewTicker(keepAlive)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		roundTripCtx, cancel := context.WithTimeout(ctx, idleTimeout-keepAlive)
		response, err := f.roundTrip(roundTripCtx, c, peer, purposeKeepAlive, "", nil)
		cancel()
		if err != nil {
			f.discard(c)
			end()
			return
		}
		_ = response.Body.Close()
	}
}

func copyTunnel(to io.Writer, from io.Reader) {
	// The end of a tunnel shows on the connection of either side.
	_, _ = io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, tunnelBuffer))
}

// errMalformedOrigin means that a peer sent a malformed description of a caller.
var errMalformedOrigin = errors.New("forwarder: malformed origin of a tunnel")

func originOf(h http.Header) (verbenastand.Origin, error) {
	attempts, err := strconv.Atoi(h.Get(attemptsHeader))
	origin := verbenastand.Origin{
		Host: verbenastand.HostID(h.Get(verbenastand.HeaderHost)), Caller: h.Get(callerHeader),
		Service: verbenastand.ServiceName(h.Get(verbenastand.HeaderService)), Attempts: attempts,
	}
	if err != nil || attempts < 0 || origin.Caller == "" {
		return origin, errMalformedOrigin
	}
	if origin.Route, origin.Table, err = decodeRoute(h.Get(routeHeader)); err != nil {
		return origin, err
	}
	origin.Losses, err = decodeLosses(h.Get(lossesHeader), time.Now())
	return origin, err
}

// serveTunnel passes the connection of a tunnel to the acceptor of this host, and returns
// when it has ended.
func (s *Server) serveTunnel(w http.ResponseWriter, r *http.Request) {
	origin, err := originOf(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.beginResponse()
	defer s.endResponse()
	near, far := net.Pipe()
	if !s.config.Tunnel(far, origin) {
		http.Error(w, "no requests are accepted", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
	out := &flushedWriter{writer: w}
	out.flush()
	var reading sync.WaitGroup
	reading.Go(func() {
		copyTunnel(near, r.Body)
		_ = near.Close()
	})
	copyTunnel(out, near)
	_ = near.Close()
	_ = r.Body.Close()
	reading.Wait()
}

func (s *Server) beginResponse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responses++
}

func (s *Server) endResponse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responses--
	s.responseEnded = time.Now()
}

// AwaitResponses waits until all tunnels and forwarded requests have ended and what was sent
// to the last of them has had time to arrive, or until ctx is done. Close would discard it.
func (s *Server) AwaitResponses(ctx context.Context) {
	poll := time.NewTicker(arrivalPollPeriod)
	defer poll.Stop()
	for !s.responsesArrived() {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		}
	}
}

func (s *Server) responsesArrived() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.responses == 0 && time.Since(s.responseEnded) >= arrivalTime
}

// flushedWriter sends each write at once.
type flushedWriter struct{ writer http.ResponseWriter }

// Write implements io.Writer.
func (f *flushedWriter) Write(p []byte) (int, error) {
	n, err := f.writer.Write(p)
	f.flush()
	return n, err
}

func (f *flushedWriter) flush() { _ = http.NewResponseController(f.writer).Flush() }
