package delegator

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

type fakeMembership struct{ hosts []verbenastand.Host }

func (m *fakeMembership) Hosts() []verbenastand.Host { return m.hosts }

func newHost(id string, change func(*verbenastand.HostConfig)) verbenastand.Host {
	c := verbenastand.HostConfig{Instance: verbenastand.NewInstance(verbenastand.HostID(id), 1), Zone: "z"}
	if change != nil {
		change(&c)
	}
	return verbenastand.NewHost(c)
}

// TestOnlyHostsThatReachServersAreSelected: neither this host, nor one that is stopping or
// reaches no server, nor one that was asked before.
func TestOnlyHostsThatReachServersAreSelected(t *testing.T) {
	self := newHost("self", nil)
	m := &fakeMembership{[]verbenastand.Host{
		self, newHost("a", nil), newHost("b", nil), newHost("leaving", func(c *verbenastand.HostConfig) { c.Leaving = true }),
		newHost("detached", func(c *verbenastand.HostConfig) { c.Detached = true }),
	}}
	d := NewDelegator(Config{Self: self, Membership: m})
	var tried []verbenastand.HostID
	for range 2 {
		h, err := d.Select(tried)
		require.NoError(t, err)
		tried = append(tried, h.ID())
	}
	require.ElementsMatch(t, []verbenastand.HostID{"a", "b"}, tried)
	_, err := d.Select(tried)
	require.ErrorIs(t, err, ErrNoDelegate)
	m.hosts = []verbenastand.Host{self, newHost("c", nil)}
	h, err := d.Select(tried)
	require.NoError(t, err)
	require.EqualValues(t, "c", h.ID(), "the membership has changed")
}

// TestRequestsAreSpreadOverFewHosts: a host keeps connections to a few others, however
// many there are, and none of these gets most of the requests.
func TestRequestsAreSpreadOverFewHosts(t *testing.T) {
	self := newHost("self", nil)
	m := &fakeMembership{[]verbenastand.Host{self}}
	for i := range 471 {
		m.hosts = append(m.hosts, newHost(fmt.Sprint("h", i), nil))
	}
	d := NewDelegator(Config{Self: self, Membership: m})
	const requests = 800
	counts := make(map[verbenastand.HostID]int)
	for range requests {
		h, err := d.Select(nil)
		require.NoError(t, err)
		counts[h.ID()]++
	}
	require.LessOrEqual(t, len(counts), maxDelegates)
	for id, n := range counts {
		require.Less(t, n, 2*requests/maxDelegates, "host %s", id)
		for range n {
			d.Release(newHost(string(id), nil))
		}
	}
	require.Empty(t, d.inFlight)
}
