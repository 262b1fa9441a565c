package limiter

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

var process = verbenastand.ServerProcess{Server: "server", StartTime: 1, Zone: "zone-0"}

func hosts(count int) []verbenastand.Host {
	var list []verbenastand.Host
	for i := range count {
		list = append(list, verbenastand.NewHost(verbenastand.HostConfig{
			Instance: verbenastand.NewInstance(verbenastand.HostID(fmt.Sprint("host-", i)), 1), Zone: verbenastand.Zone(fmt.Sprint("zone-", i%3)),
		}))
	}
	return list
}

// newTestLimiter returns the limiter of host-0 in a fleet, and the changes that it reports.
func newTestLimiter(clock verbenastand.Clock, fleet int) (*Limiter, *[]ChangeKind) {
	changes := new([]ChangeKind)
	return NewLimiter(Config{
		Clock: clock, Self: "host-0",
		Hosts:    func(verbenastand.ServerProcess) []verbenastand.Host { return hosts(fleet) },
		OnChange: func(c Change) { *changes = append(*changes, c.Kind) },
	}), changes
}

func named(clock verbenastand.Clock, text string) Response {
	return Response{Process: process, Named: true, Text: text, Succeeded: true, SentAt: clock.Now()}
}

func TestALimitHoldsAsLongAsItIsNamed(t *testing.T) {
	clock := fake.NewClock()
	l, changes := newTestLimiter(clock, 1)
	plain := func(sentAt time.Time, succeeded bool) {
		l.Observe(Response{Process: process, Succeeded: succeeded, SentAt: sentAt})
	}
	require.True(t, l.Take(process))
	sentBefore := clock.Now()
	clock.Advance(time.Second)
	l.Observe(named(clock, "2"))
	require.False(t, l.Take(process))
	plain(sentBefore, true)
	require.False(t, l.Take(process), "a response to a request that was sent before the limit was named")
	clock.Advance(100 * time.Millisecond)
	plain(clock.Now(), false)
	require.False(t, l.Take(process), "a failure does not lift it")
	for _, text := range []string{"", "-2", "many"} {
		l.Observe(named(clock, text))
	}
	rate, limited := l.Share(process)
	require.True(t, limited, "what can't be read changes nothing")
	require.EqualValues(t, 2, rate)
	l.Observe(named(clock, "4"))
	clock.Advance(500 * time.Millisecond)
	require.True(t, l.Take(process))
	plain(clock.Now(), true)
	require.True(t, l.Take(process))
	require.Equal(t, []ChangeKind{Named, Malformed, Malformed, Malformed, Altered, Lifted}, *changes)
	other := process
	other.StartTime = 2
	l.Observe(named(clock, "0"))
	require.True(t, l.Take(other), "the limit is that of one process")
}

// Guards against a message and a line for each response of a server whose limit follows
// its load closely.
func TestSmallChangesAreNotAnnounced(t *testing.T) {
	clock := fake.NewClock()
	l, changes := newTestLimiter(clock, 1)
	for i := range 100 {
		clock.Advance(100 * time.Millisecond)
		l.Observe(named(clock, fmt.Sprint(10+float64(i%10)/20)))
	}
	require.Equal(t, []ChangeKind{Named}, *changes)
	require.EqualValues(t, 10.45, l.Records(1)[0].Rate)
	l.Observe(named(clock, "12"))
	require.Equal(t, []ChangeKind{Named, Altered}, *changes)
}

// Guards against a server whose limit is never found to be lifted, because no request
// is sent to it.
func TestALowLimitAllowsRareRequests(t *testing.T) {
	for _, text := range []string{"0", "0.001"} {
		clock := fake.NewClock()
		l, _ := newTestLimiter(clock, 1)
		l.Observe(named(clock, text))
		taken := 0
		for range 100 {
			clock.Advance(time.Second)
			if l.Take(process) {
				taken++
				l.Observe(named(clock, text))
			}
		}
		require.Equal(t, 3, taken)
	}
}

// Guards against a limit that outlives the server that named it.
func TestALimitThatNobodyRenewsExpires(t *testing.T) {
	clock := fake.NewClock()
	first, _ := newTestLimiter(clock, 1)
	second, _ := newTestLimiter(clock, 1)
	first.Observe(named(clock, "1"))
	for range 300 {
		clock.Advance(time.Second)
		for _, r := range first.Records(8) {
			second.Merge(r)
		}
		for _, r := range second.Records(8) {
			r.Age -= 10 * time.Millisecond
			first.Merge(r)
		}
		first.Sweep(clock.Now())
		second.Sweep(clock.Now())
	}
	require.Zero(t, first.Limited())
	require.Zero(t, second.Limited())
}

// Guards against a limit that a host brings back that was cut off when it was lifted.
func TestALiftedLimitDoesNotReturn(t *testing.T) {
	clock := fake.NewClock()
	here, _ := newTestLimiter(clock, 1)
	cutOff, _ := newTestLimiter(clock, 1)
	cutOff.Observe(named(clock, "1"))
	clock.Advance(time.Second)
	here.Observe(named(clock, "1"))
	clock.Advance(time.Second)
	here.Observe(Response{Process: process, Succeeded: true, SentAt: clock.Now()})
	for range 200 {
		clock.Advance(time.Second)
		here.Sweep(clock.Now())
		cutOff.Sweep(clock.Now())
		for _, r := range cutOff.Records(8) {
			here.Merge(r)
		}
		require.Zero(t, here.Limited())
	}
}

// Guards against a burst of a host that resumes after a pause: the pause earns nothing.
func TestAPauseSavesNothingUp(t *testing.T) {
	clock := fake.NewClock()
	l, _ := newTestLimiter(clock, 1)
	l.Observe(named(clock, "20"))
	require.False(t, l.Take(process))
	clock.Advance(time.Minute)
	l.Pause(time.Minute)
	require.False(t, l.Take(process))
	clock.Advance(time.Minute)
	taken := 0
	for l.Take(process) {
		taken++
	}
	require.LessOrEqual(t, taken, 10)
}

// Checks that hosts agree on the limit of a server, whatever the order of messages: the
// latest response counts.
func TestTheLatestResponseCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := fake.NewClock()
		var fleet []*Limiter
		for range 3 {
			l, _ := newTestLimiter(clock, 3)
			fleet = append(fleet, l)
		}
		last, lastRate := -1, verbenastand.RequestRate(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			clock.Advance(2 * time.Second)
			l := rapid.SampledFrom(fleet).Draw(t, "host")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				lastRate = verbenastand.RequestRate(rapid.IntRange(1, 9).Draw(t, "rate"))
				last = 1
				l.Observe(named(clock, fmt.Sprint(lastRate)))
			case 1:
				if _, limited := l.Share(process); limited {
					last = 0
				}
				l.Observe(Response{Process: process, Succeeded: true, SentAt: clock.Now()})
			default:
				for _, r := range rapid.SampledFrom(fleet).Draw(t, "from").Records(8) {
					l.Merge(r)
				}
			}
		}
		for range fleet {
			for _, from := range fleet {
				for _, to := range fleet {
					for _, r := range from.Records(8) {
						to.Merge(r)
					}
				}
			}
		}
		for _, l := range fleet {
			limited := l.Limited() == 1
			require.Equal(t, last == 1, limited)
			if limited {
				require.Equal(t, lastRate, l.Records(1)[0].Rate)
			}
		}
	})
}

// Guards against a host that spends its processor on its shares when all servers of a
// large service name limits.
func TestHostsAreReadOnceForAllServers(t *testing.T) {
	clock := fake.NewClock()
	reads := 0
	fleet := hosts(472)
	l := NewLimiter(Config{Clock: clock, Self: "host-0", Hosts: func(verbenastand.ServerProcess) []verbenastand.Host {
		reads++
		return fleet
	}})
	server := func(i int) verbenastand.ServerProcess {
		return verbenastand.ServerProcess{Server: verbenastand.ServerID(fmt.Sprint("server-", i)), Service: "service", Zone: "zone-0"}
	}
	const servers = 371
	for i := range servers {
		l.Observe(Response{Process: server(i), Named: true, Text: "3"})
	}
	for range 10 {
		clock.Advance(100 * time.Millisecond)
		for i := range servers {
			l.Available(server(i))
		}
	}
	require.LessOrEqual(t, reads, 5)
}

// Checks that the shares of all hosts add up to the limit, at any number of hosts, and
// that few of them move when a host leaves.
func TestSharesAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := fake.NewClock()
		count := rapid.IntRange(1, 500).Draw(t, "hosts")
		rate := rapid.Float64Range(0.1, 300).Draw(t, "rate")
		fleet := hosts(count)
		total, users := 0.0, 0
		for _, h := range fleet {
			l := NewLimiter(Config{Clock: clock, Self: h.ID(), Hosts: func(verbenastand.ServerProcess) []verbenastand.Host { return fleet }})
			l.Observe(named(clock, fmt.Sprint(rate)))
			share, limited := l.Share(process)
			require.True(t, limited)
			total += float64(share)
			if share > 0 {
				users++
			}
		}
		require.InEpsilon(t, rate, total, 1e-9)
		require.LessOrEqual(t, float64(users), max(1, rate))
	})
}

func BenchmarkAvailable(b *testing.B) {
	fleet := hosts(472)
	clock := fake.NewClock()
	l := NewLimiter(Config{Clock: clock, Self: "host-0", Hosts: func(verbenastand.ServerProcess) []verbenastand.Host { return fleet }})
	l.Observe(named(clock, "3"))
	for _, bm := range []struct {
		name string
		step time.Duration
	}{{"known hosts", 0}, {"hosts read again", hostsLifetime}} {
		b.Run(bm.name, func(b *testing.B) {
			for range b.N {
				clock.Advance(bm.step)
				l.Available(process)
			}
		})
	}
}
