package e2e

import (
	"bytes"
	"context"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/emulator"
	"github.com/verbenastand/verbenastand/merger"
)

const datagramBytes = 64 << 10

// addRelay puts a relay in front of the peer address of a host. It drops all
// datagrams while the cluster is partitioned.
func (k *cluster) addRelay(e *entry) {
	target, err := net.ResolveUDPAddr("udp", e.peer)
	require.NoError(k.t, err)
	e.peer = freeAddress(k.t, "udp")
	e.args = append(e.args, "--peer-advertise", e.peer)
	front, err := net.ListenPacket("udp", e.peer)
	require.NoError(k.t, err)
	k.t.Cleanup(func() { _ = front.Close() })
	go k.relay(front, target)
}

// relay forwards datagrams between the clients of front and a target, with one
// socket to the target per client.
func (k *cluster) relay(front net.PacketConn, target *net.UDPAddr) {
	var mu sync.Mutex
	upstreams := make(map[string]*net.UDPConn)
	buffer := make([]byte, datagramBytes)
	for {
		n, from, err := front.ReadFrom(buffer)
		if err != nil {
			mu.Lock()
			defer mu.Unlock()
			for _, u := range upstreams {
				_ = u.Close()
			}
			return
		}
		mu.Lock()
		upstream := upstreams[from.String()]
		if upstream == nil {
			if upstream, err = net.DialUDP("udp", nil, target); err != nil {
				mu.Unlock()
				continue
			}
			upstreams[from.String()] = upstream
			go k.relayResponses(front, upstream, from)
		}
		mu.Unlock()
		if !k.partitioned.Load() {
			_, _ = upstream.Write(buffer[:n])
		}
	}
}

func (k *cluster) relayResponses(front net.PacketConn, upstream *net.UDPConn, to net.Addr) {
	buffer := make([]byte, datagramBytes)
	for {
		n, err := upstream.Read(buffer)
		if err != nil {
			return
		}
		if !k.partitioned.Load() {
			datagram := bytes.Clone(buffer[:n])
			time.AfterFunc(k.relayDelay, func() { _, _ = front.WriteTo(datagram, to) })
		}
	}
}

// No host can reach another. Each must keep serving: requests complete, idempotency
// keys run at most once and tickets take effect. After the partition the hosts must
// find each other again without reverting to older state.
func TestPartitionedHostsKeepServing(t *testing.T) {
	k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 4, relayed: true})
	c := k.caller()
	ctx := context.Background()
	homes, other := k.homes("bookings")
	key := k.newKey(c, homes[0], "before")
	require.True(t, c.Send(ctx, homes[0].call, keyedRequest("before", 0), key, 0).Complete)

	alivePeers := func(count int) func() bool {
		return func() bool {
			for _, e := range k.entries {
				s := k.requireStatus(e)
				alive := 0
				for _, p := range s.Peers {
					if p.AgeMs < 4000 {
						alive++
					}
				}
				if alive != count {
					return false
				}
			}
			return true
		}
	}
	stop := k.startLoad(6, func(n int) emulator.Request {
		if n%2 == 0 {
			return keyedRequest("cut-"+strconv.Itoa(n), 0)
		}
		return getRequest("catalogue", "cut-"+strconv.Itoa(n), 0)
	})
	k.partitioned.Store(true)
	k.waitUntil("each host considers all peers dead", alivePeers(0))
	k.waitUntil("each host serves every service by itself", func() bool {
		for _, e := range k.entries {
			for _, s := range k.requireStatus(e).Services {
				if len(s.Homes) != 1 || s.Homes[0] != e.id {
					return false
				}
			}
		}
		return true
	})
	result := c.Send(ctx, other.call, keyedRequest("before", 0), key, 1)
	require.Equal(t, verbenastand.MayHaveRun, result.Verdict, "the home host cannot be reached: %+v", result)
	k.publish(merger.Ticket{Number: 2, Services: []merger.ServiceObject{{Name: "added"}}})
	for _, e := range k.entries {
		k.waitUntil("ticket 2", func() bool { return k.requireStatus(e).TicketNumber == 2 })
		require.True(t, c.Send(ctx, e.call, getRequest("ledger", "alone-"+e.id, 0), "", 0).Complete)
	}
	k.partitioned.Store(false)
	k.waitUntil("all hosts see each other again", alivePeers(3))
	k.waitUntil("the home host returns the outcome again", func() bool { return c.Send(ctx, other.call, keyedRequest("before", 0), key, 2).Complete })
	results := stop()
	k.checkKeys(results)
	require.Equal(t, 1, k.runsPerKey()[key])
	for _, r := range results {
		require.True(t, r.Complete, "%+v", r)
	}
}
