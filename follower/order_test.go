package follower

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// hostWith returns a host with a link, in one of four availability zones.
func hostWith(number, linkMbps int, leaving bool) verbenastand.Host {
	return verbenastand.NewHost(verbenastand.HostConfig{
		Instance: verbenastand.NewInstance(verbenastand.HostID(fmt.Sprintf("h%d", number)), 1),
		Zone:     verbenastand.Zone(fmt.Sprintf("z%d", number%4)), LinkMbps: linkMbps, Leaving: leaving,
	})
}

func TestHostsWithFastLinksComeFirst(t *testing.T) {
	cases := []struct {
		name string
		// link returns the bandwidth of a host; leaving whether it shuts down.
		link    func(number int) int
		leaving func(number int) bool
		// first is the number of hosts that must come first, those for which isFirst is true.
		first   int
		isFirst func(number int) bool
	}{
		{"eight fast hosts", fastBelow(8), never, 8, below(8)},
		{"a fast host is leaving", fastBelow(8), func(number int) bool { return number == 0 }, 7, below(8)},
		{"all fast hosts are leaving", fastBelow(8), below(8), 0, below(8)},
		{"hosts of earlier versions do not say", func(number int) int { return map[bool]int{true: 10}[number < 8] }, never, 8, below(8)},
		{"links of similar speed", func(number int) int { return 60 + number%40 }, never, 129, below(129)},
		{"nobody says", func(int) int { return 0 }, never, 129, below(129)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var hosts []verbenastand.Host
			staying := 0
			for i := range 129 {
				hosts = append(hosts, hostWith(i, tc.link(i), tc.leaving(i)))
				if !tc.leaving(i) {
					staying++
				}
			}
			ordered := order("task", hosts)
			require.Len(t, ordered, staying)
			for i, h := range ordered {
				var number int
				_, _ = fmt.Sscanf(string(h.ID()), "h%d", &number)
				require.False(t, h.Leaving())
				require.Equal(t, i < tc.first, tc.isFirst(number), "host %d at %d", number, i)
			}
			require.NotEqual(t, ordered[0].Zone(), ordered[1].Zone())
		})
	}
}

func fastBelow(n int) func(int) int {
	return func(number int) int {
		if number < n {
			return 200
		}
		return 10
	}
}

func below(n int) func(int) bool { return func(number int) bool { return number < n } }

func never(int) bool { return false }

// Guards against readers and forwarding hosts on the slowest links of a deployment, which
// take longer to receive a large table than all others together (issue 44, CONFIG).
func TestHostsWithFastLinksReadAndForward(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(129)
		for i := range f.hosts {
			f.hosts[i] = hostWith(i, fastBelow(12)(i), false)
		}
		for _, h := range f.hosts {
			f.followers[h.ID()] = f.newFollower(h)
		}
		isFast := make(map[verbenastand.HostID]bool)
		for _, h := range f.hosts {
			isFast[h.ID()] = h.LinkMbps() == 200
		}
		require.Len(t, f.readers(), readers)
		for _, id := range f.readers() {
			require.True(t, isFast[id], id)
		}
		for i := range readers {
			require.NotEmpty(t, f.forwardingHosts(i))
			for _, id := range f.forwardingHosts(i) {
				require.True(t, isFast[id], id)
			}
		}
		require.NotEqual(t, f.forwardingHosts(0), f.forwardingHosts(1))
	})
}
