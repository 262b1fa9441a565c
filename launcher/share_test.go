package launcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/gossiper"
	"github.com/verbenastand/verbenastand/internal/fake"
	"github.com/verbenastand/verbenastand/limiter"
	"github.com/verbenastand/verbenastand/quarantiner"
)

// directTransport delivers messages to one gossiper, or loses them if that is nil.
type directTransport struct{ to *gossiper.Gossiper }

// Exchange implements verbenastand.PeerTransport.
func (d directTransport) Exchange(_ context.Context, _ verbenastand.Host, message []byte) ([]byte, error) {
	if d.to == nil {
		return nil, http.ErrNotSupported
	}
	return d.to.HandleMessage(message)
}

// Forward implements verbenastand.PeerTransport.
func (directTransport) Forward(verbenastand.Host, *http.Request) (*http.Response, error) {
	return nil, http.ErrNotSupported
}

// Handover implements verbenastand.PeerTransport.
func (directTransport) Handover(context.Context, verbenastand.Host, []byte) error { return nil }

// TicketSource implements verbenastand.PeerTransport.
func (directTransport) TicketSource(verbenastand.Host) verbenastand.TicketSource { return nil }

// Guards against a host that fails between two reads of the membership and is counted twice among
// those that share a limit, or that returns between them and is not counted, so that the others
// take its share.
func TestTheHostsThatShareALimitAreReadAtOneMoment(t *testing.T) {
	clock := fake.NewClock()
	newGossiper := func(name string, transport verbenastand.PeerTransport) *gossiper.Gossiper {
		return gossiper.NewGossiper(gossiper.Config{
			Timer: clock, Transport: transport, Random: rand.New(rand.NewPCG(1, 1)),
			Self: verbenastand.NewHost(verbenastand.HostConfig{
				Instance: verbenastand.NewInstance(verbenastand.HostID(name), 1), Zone: "z", PeerAddress: name + ":1",
			}),
			Seeds:              []verbenastand.Host{verbenastand.NewHost(verbenastand.HostConfig{PeerAddress: "own:1"})},
			Configuration:      emptyConfiguration{verbenastand.NewConfiguration(verbenastand.ConfigurationConfig{})},
			Quarantine:         quarantiner.NewQuarantiner(quarantiner.Config{Clock: clock}),
			Limits:             limiter.NewLimiter(limiter.Config{Clock: clock}),
			Notices:            func() []gossiper.Notice { return nil },
			OnMembershipChange: func() {},
		})
	}
	g := &Gateway{gossiper: newGossiper("own", directTransport{})}
	count := func() int { return len(g.limitedHosts(verbenastand.ServerProcess{})) }
	require.Equal(t, 1, count())
	newGossiper("other", directTransport{g.gossiper}).Sync(t.Context())
	require.Equal(t, 2, count())
	// The lifetime of the other host ends before the set of live hosts is published again.
	clock.Advance(2 * gossiper.DefaultLifetime)
	require.Equal(t, 2, count())
	g.gossiper.Tick(time.Time{})
	require.Equal(t, 2, count(), "an unreachable host keeps its share")
	g.gossiper.Leave(t.Context())
	require.Equal(t, 1, count(), "a host that leaves has no share")
}
