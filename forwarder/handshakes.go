package forwarder

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"github.com/verbenastand/verbenastand/internal/bounder"
)

const (
	// maxHandshakes is the number of handshakes that may be in progress, more than a large
	// deployment has hosts that return at the same moment. One network address alone gets half.
	maxHandshakes = 256
	// unverifiedHandshakes is the number of handshakes up to which the network addresses of
	// clients are not verified. Verification takes another round trip.
	unverifiedHandshakes = 32
)

// errTooManyHandshakes means that no handshake is begun with a client.
var errTooManyHandshakes = errors.New("forwarder: too many handshakes are in progress")

// handshakes bounds the connections whose clients have not shown a certificate of the deployment
// yet. A client holds a place from its first packet until its handshake succeeds or fails, for
// two seconds at most.
type handshakes struct {
	shares *bounder.Shares
	// onRefusal is called with the address of a client that is refused.
	onRefusal func(client string)
	refused   atomic.Int64
}

func newHandshakes(onRefusal func(client string)) *handshakes {
	return &handshakes{shares: bounder.NewShares(maxHandshakes), onRefusal: onRefusal}
}

// inProgress returns the number of handshakes.
func (h *handshakes) inProgress() int64 { return h.shares.Size() - h.shares.Left() }

// mustVerify reports whether a client has to show that it receives what is sent to its address
// before anything is kept for it. It implements quic.Transport.VerifySourceAddress.
func (h *handshakes) mustVerify(net.Addr) bool { return h.inProgress() >= unverifiedHandshakes }

// begin takes a place for a handshake until ctx, the context of its connection, is done. It
// implements quic.Transport.ConnContext.
func (h *handshakes) begin(ctx context.Context, client *quic.ClientInfo) (context.Context, error) {
	share := h.shares.Open(hostOf(client.RemoteAddr.String()))
	if !share.Take(1) {
		share.Close()
		h.refused.Add(1)
		h.onRefusal(client.RemoteAddr.String())
		return nil, errTooManyHandshakes
	}
	p := &place{share: share}
	context.AfterFunc(ctx, p.end)
	return context.WithValue(ctx, placeKey{}, p), nil
}

type placeKey struct{}

// place is the place of one handshake.
type place struct {
	share *bounder.Share
	once  sync.Once
}

// end returns the place.
func (p *place) end() {
	p.once.Do(func() {
		p.share.Return(1)
		p.share.Close()
	})
}

// peerListener accepts connections of clients that have shown a certificate of the deployment.
type peerListener struct{ *quic.Listener }

// Accept implements http3.QUICListener.
func (l peerListener) Accept(ctx context.Context) (*quic.Conn, error) {
	conn, err := l.Listener.Accept(ctx)
	if err != nil {
		return nil, err
	}
	if p, ok := conn.Context().Value(placeKey{}).(*place); ok {
		p.end()
	}
	return conn, nil
}

// hostOf returns the network address without its port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
