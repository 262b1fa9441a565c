package responder

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/api"
	"github.com/verbenastand/verbenastand/deduplicator"
	"github.com/verbenastand/verbenastand/internal/fake"
	"github.com/verbenastand/verbenastand/merger"
	"github.com/verbenastand/verbenastand/registrar"
)

// staticMembership is a membership that does not change.
type staticMembership []verbenastand.Host

func (m staticMembership) Self() verbenastand.Host    { return m[0] }
func (m staticMembership) Hosts() []verbenastand.Host { return m }
func (m staticMembership) KeyOwner(verbenastand.Instance) (verbenastand.Host, bool) {
	return verbenastand.Host{}, false
}

func newMembership(size int, leaving ...int) staticMembership {
	var hosts staticMembership
	for i := range size {
		c := verbenastand.HostConfig{
			Instance: verbenastand.NewInstance(verbenastand.HostID(fmt.Sprint("host-", i)), 1), Zone: verbenastand.Zone(fmt.Sprint("zone-", i%4)),
			CallAddress: fmt.Sprintf("10.0.0.%d:8080", i),
		}
		for _, l := range leaving {
			c.Leaving = c.Leaving || l == i
		}
		hosts = append(hosts, verbenastand.NewHost(c))
	}
	return hosts
}

func newResponder(membership staticMembership, servers ...merger.ServerObject) *Responder {
	clock := fake.NewClock()
	m := merger.NewMerger(merger.Config{})
	m.Merge(merger.Ticket{Number: 3, Services: []merger.ServiceObject{{Name: "bookings", Homes: 3}}, Servers: servers})
	reg := registrar.NewRegistrar(registrar.Config{Clock: clock, Self: membership[0], Configuration: m, Hosts: membership.Hosts})
	reg.Update()
	r := NewResponder(Config{
		Clock: clock, Membership: membership, Configuration: m, Registrar: reg, KeyValidity: time.Minute, AddStatus: func(*api.Status) {},
	})
	r.SetState(Ready)
	return r
}

func ask(t testing.TB, r *Responder, zone string) *api.Answer {
	p := api.AskParams{Service: "bookings"}
	if zone != "" {
		p.Zone = api.NewOptString(zone)
	}
	response, err := r.Ask(context.Background(), p)
	require.NoError(t, err)
	return response
}

// Guards against callers that all choose the same host first or repeat their
// lookups at the same time.
func TestLookupResponsesVaryBetweenCallers(t *testing.T) {
	r := newResponder(newMembership(14))
	first := make(map[string]int)
	validity := make(map[int]bool)
	for range 300 {
		response := ask(t, r, "")
		require.Len(t, response.Hosts, 4, "three homes and one alternate")
		first[response.Hosts[0].ID]++
		validity[response.ValidForMs] = true
		require.InDelta(t, DefaultValidity.Milliseconds(), response.ValidForMs, 1001)
	}
	require.Len(t, first, 3)
	for id, n := range first {
		require.InDelta(t, 100, n, 60, id)
	}
	require.Greater(t, len(validity), 100)
}

func TestHomesAreListedFirstInProportionToTheirSlots(t *testing.T) {
	membership := newMembership(4)
	homes := ask(t, newResponder(membership), "").Hosts[:3]
	var servers []merger.ServerObject
	for i := range 8 {
		zone := homes[0].Zone
		if i >= 6 {
			zone = homes[i-5].Zone
		}
		servers = append(servers, merger.ServerObject{
			ID: verbenastand.ServerID(fmt.Sprint("bookings-", i)), Service: "bookings", Zone: verbenastand.Zone(zone), Address: "127.0.0.1:80",
		})
	}
	r := newResponder(membership, servers...)
	first := make(map[string]int)
	const lookups = 800
	for range lookups {
		first[ask(t, r, "").Hosts[0].ID]++
	}
	require.InDelta(t, lookups*6/8, first[homes[0].ID], lookups/10)
}

func TestHomeInTheCallersZoneComesFirst(t *testing.T) {
	r := newResponder(newMembership(14))
	home := ask(t, r, "").Hosts[1]
	for range 20 {
		require.Equal(t, home.ID, ask(t, r, home.Zone).Hosts[0].ID)
	}
}

func TestLeavingHostsAreNotReturned(t *testing.T) {
	all := newResponder(newMembership(14))
	for _, h := range ask(t, all, "").Hosts[:3] {
		var index int
		_, err := fmt.Sscanf(h.ID, "host-%d", &index)
		require.NoError(t, err)
		for _, listed := range ask(t, newResponder(newMembership(14, index)), "").Hosts {
			require.NotEqual(t, h.ID, listed.ID)
		}
	}
}

func TestKeyPrefixNamesTheInstance(t *testing.T) {
	for _, h := range ask(t, newResponder(newMembership(5)), "").Hosts {
		key, err := deduplicator.ParseKey(h.KeyPrefix + "nonce")
		require.NoError(t, err)
		require.Equal(t, verbenastand.HostID(h.ID), key.Instance().Host())
	}
}

func TestUnknownServiceAndStartingHostHaveReasons(t *testing.T) {
	r := newResponder(newMembership(2))
	_, err := r.Ask(context.Background(), api.AskParams{Service: "nowhere"})
	require.Equal(t, "unknownService", r.NewError(context.Background(), err).Response.Reason)
	r.SetState(Starting)
	_, err = r.Ask(context.Background(), api.AskParams{Service: "bookings"})
	require.Equal(t, "starting", r.NewError(context.Background(), err).Response.Reason)
}

// BenchmarkAsk measures a lookup with 60 hosts, as in the target deployment.
func BenchmarkAsk(b *testing.B) {
	r := newResponder(newMembership(60))
	b.ReportAllocs()
	for range b.N {
		ask(b, r, "")
	}
}
