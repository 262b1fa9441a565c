package limiter

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

const (
	warmupRate    = 4.3
	warmupOverage = 1.5
	warmupSlack   = 8
)

// coldProcess is a server in the availability zone of the hosts 0, 3, 6, ...
var coldProcess = verbenastand.ServerProcess{Server: "server", StartTime: 1, Service: "service", Zone: "zone-0"}

// viewOf returns a view with one server, of a service with the given limit.
func viewOf(p verbenastand.ServerProcess, rate verbenastand.RequestRate, warmup time.Duration) *verbenastand.View {
	return verbenastand.NewView(verbenastand.ViewConfig{
		Table: verbenastand.NewRouteTable(verbenastand.RouteTableConfig{
			Version: 1, Services: map[verbenastand.ServiceName]verbenastand.ServiceSettings{p.Service: {WarmupRate: rate}},
		}),
		Servers: map[verbenastand.ServiceName][]verbenastand.Registration{p.Service: {verbenastand.NewRegistration(verbenastand.RegistrationConfig{
			Server: p.Server, StartTime: p.StartTime, Service: p.Service, Zone: p.Zone, Warmup: warmup, State: verbenastand.ServerActive,
		})}},
	})
}

// newTestWarmup returns the limiter of a host in a fleet, and the changes that it reports.
func newTestWarmup(clock verbenastand.Clock, self, fleet int) (*Warmup, *[]WarmupChangeKind) {
	changes := new([]WarmupChangeKind)
	list := hosts(fleet)
	return NewWarmup(WarmupConfig{
		Clock: clock, Self: verbenastand.HostID(fmt.Sprint("host-", self)), Overage: warmupOverage, Slack: warmupSlack,
		Hosts:    func(verbenastand.ServerProcess) []verbenastand.Host { return list },
		OnChange: func(c WarmupChange) { *changes = append(*changes, c.Kind) },
	}), changes
}

func checked(clock verbenastand.Clock, remaining ...string) HealthResponse {
	return HealthResponse{Process: coldProcess, Remaining: remaining, SentAt: clock.Now()}
}

// Guards against a server that gets requests beyond its limit after its start, and against a
// limit that outlasts the time in which the server is cold.
func TestARegisteredColdServerGetsItsLimit(t *testing.T) {
	clock := fake.NewClock()
	l, changes := newTestWarmup(clock, 0, 1)
	l.Update(viewOf(coldProcess, warmupRate, 3*time.Second))
	require.Equal(t, 1, l.Cold())
	taken := 0
	for range 300 {
		if l.Take(coldProcess) {
			taken++
		}
		clock.Advance(10 * time.Millisecond)
	}
	require.Equal(t, 12, taken)
	require.Zero(t, l.Cold())
	require.True(t, l.Available(coldProcess))
	require.False(t, l.Take(coldProcess), "it may have become cold again")
	l.Sweep(clock.Now())
	l.Observe(checked(clock))
	for range 100 {
		require.True(t, l.Take(coldProcess))
	}
	require.Equal(t, []WarmupChangeKind{BecameCold, BecameWarm}, *changes)
}

// Guards against requests to a server that has become cold without a new registration: each
// host learns of it before it sends a request.
func TestAServerThatMayHaveBecomeColdIsCheckedFirst(t *testing.T) {
	clock := fake.NewClock()
	l, _ := newTestWarmup(clock, 0, 1)
	l.Update(viewOf(coldProcess, warmupRate, 0))
	require.True(t, l.Available(coldProcess))
	require.False(t, l.Current(coldProcess))
	require.False(t, l.Take(coldProcess))
	for _, remaining := range [][]string{{"0"}, nil, {"many"}} {
		l.Observe(checked(clock, remaining...))
		require.True(t, l.Current(coldProcess))
		require.True(t, l.Take(coldProcess))
		clock.Advance(checkLifetime + time.Millisecond)
		require.False(t, l.Current(coldProcess))
		require.False(t, l.Take(coldProcess))
	}
	l.Observe(checked(clock, "3000"))
	require.True(t, l.Current(coldProcess), "a limit needs no health check")
	require.False(t, l.Take(coldProcess))
	require.False(t, l.Available(coldProcess))
	require.Equal(t, 3*time.Second, l.Remaining(coldProcess))
}

// Guards against an older registration, or a response that is late, that ends the limit of a
// server.
func TestOlderInformationEndsNoLimit(t *testing.T) {
	clock := fake.NewClock()
	l, _ := newTestWarmup(clock, 0, 1)
	l.Update(viewOf(coldProcess, warmupRate, 500*time.Millisecond))
	late := checked(clock, "0")
	clock.Advance(100 * time.Millisecond)
	l.Observe(checked(clock, "3000"))
	l.Update(viewOf(coldProcess, warmupRate, 0))
	l.Observe(late)
	require.Equal(t, 3*time.Second, l.Remaining(coldProcess))
	l.Update(viewOf(coldProcess, warmupRate, 5*time.Second))
	require.Equal(t, 5*time.Second, l.Remaining(coldProcess))
	clock.Advance(time.Millisecond)
	l.Observe(checked(clock, "0"))
	require.Zero(t, l.Remaining(coldProcess), "the latest health check counts")
	l.Update(viewOf(coldProcess, warmupRate, 5*time.Second))
	require.Zero(t, l.Remaining(coldProcess), "a registration counts once")
}

// Guards against a remaining time that can't be read and changes something, and against a log
// line for each of them.
func TestMalformedWarmupTimes(t *testing.T) {
	clock := fake.NewClock()
	l, changes := newTestWarmup(clock, 0, 1)
	l.Update(viewOf(coldProcess, warmupRate, 2*time.Second))
	for _, text := range []string{"", "-1", "NaN", "Inf", "infinity", "0x10", "1_0", "3, 4", "3000 ms", "\x00"} {
		l.Observe(checked(clock, text))
		l.Observe(checked(clock, text))
		require.Equal(t, 2*time.Second, l.Remaining(coldProcess), "%q", text)
	}
	require.Len(t, *changes, 1+10)
	valid := []struct {
		text string
		want time.Duration
	}{{"0", 0}, {"1500", 1500 * time.Millisecond}, {" 0.5 ", 500 * time.Microsecond}, {"3600001", time.Hour}, {"1e300", time.Hour}, {"1e999", time.Hour}}
	for _, tc := range valid {
		got, err := ParseWarmup(tc.text)
		require.NoError(t, err, tc.text)
		require.Equal(t, tc.want, got, tc.text)
	}
}

// Guards against limits where the route table names none, and against one that lasts after it
// was removed from the table.
func TestServicesWithoutAWarmupLimit(t *testing.T) {
	clock := fake.NewClock()
	l, changes := newTestWarmup(clock, 0, 1)
	unlimited := func() {
		l.Observe(checked(clock, "3000"))
		require.True(t, l.Available(coldProcess) && l.Take(coldProcess) && l.Current(coldProcess))
		_, limited := l.Share(coldProcess)
		require.False(t, limited)
		require.Zero(t, l.Wait(coldProcess)+l.Remaining(coldProcess))
		require.Zero(t, l.Cold())
	}
	unlimited()
	l.Update(viewOf(coldProcess, 0, 3*time.Second))
	unlimited()
	require.Empty(t, *changes)
	l.Update(viewOf(coldProcess, warmupRate, 3*time.Second))
	require.False(t, l.Take(coldProcess))
	l.Update(viewOf(coldProcess, 0, 3*time.Second))
	unlimited()
}

// Guards against a request to a server that has become cold while its zone was evacuated,
// because of a health check from before.
func TestAServerIsCheckedAfterAnEvacuation(t *testing.T) {
	clock := fake.NewClock()
	l, _ := newTestWarmup(clock, 0, 1)
	view := func(evacuated bool) *verbenastand.View {
		v := viewOf(coldProcess, warmupRate, 0)
		return verbenastand.NewView(verbenastand.ViewConfig{
			Table: v.Table(), Servers: map[verbenastand.ServiceName][]verbenastand.Registration{coldProcess.Service: v.Servers(coldProcess.Service)},
			Evacuated: map[verbenastand.Zone]bool{coldProcess.Zone: evacuated},
		})
	}
	l.Update(view(false))
	early := checked(clock)
	l.Observe(early)
	require.True(t, l.Take(coldProcess))
	l.Update(view(true))
	clock.Advance(time.Millisecond)
	l.Update(view(false))
	require.False(t, l.Take(coldProcess))
	l.Observe(early)
	require.False(t, l.Take(coldProcess))
	l.Observe(checked(clock, "0"))
	require.True(t, l.Take(coldProcess))
}

// Guards against a state of each process that was ever registered, and against a new allowance
// for a server whose registration is missing for a moment.
func TestProcessesThatAreNoLongerRegisteredAreForgotten(t *testing.T) {
	clock := fake.NewClock()
	l, _ := newTestWarmup(clock, 0, 1)
	taken := 0
	for i := range 100 {
		l.Update(viewOf(coldProcess, warmupRate, time.Hour))
		if l.Take(coldProcess) {
			taken++
		}
		clock.Advance(10 * time.Millisecond)
		other := coldProcess
		other.StartTime = int64(2 + i)
		l.Update(viewOf(other, warmupRate, time.Hour))
	}
	require.LessOrEqual(t, taken, 5)
	clock.Advance(bucketLifetime)
	l.Update(viewOf(coldProcess, warmupRate, 0))
	require.LessOrEqual(t, l.Cold(), 1)
}

// Guards against a server that gets a new allowance each time that it becomes cold.
func TestAServerThatIsColdAgainAndAgain(t *testing.T) {
	clock := fake.NewClock()
	l, _ := newTestWarmup(clock, 0, 1)
	l.Update(viewOf(coldProcess, warmupRate, 0))
	taken := 0
	for i := range 1000 {
		clock.Advance(10 * time.Millisecond)
		remaining := "3000"
		if i%2 == 1 {
			remaining = "0"
		}
		l.Observe(checked(clock, remaining))
		if i%2 == 0 && l.Take(coldProcess) {
			taken++
		}
	}
	require.LessOrEqual(t, taken, 44)
}

// Guards against a host that gives up waiting for a server that will soon be warm.
func TestTheWaitForAColdServerEndsWhenItIsWarm(t *testing.T) {
	clock := fake.NewClock()
	excluded, _ := newTestWarmup(clock, 1, 3)
	excluded.Update(viewOf(coldProcess, warmupRate, 3*time.Second))
	share, limited := excluded.Share(coldProcess)
	require.True(t, limited)
	require.Zero(t, share, "a host of another zone has no share")
	require.Equal(t, 3*time.Second, excluded.Wait(coldProcess))
	sharing, _ := newTestWarmup(clock, 0, 3)
	sharing.Update(viewOf(coldProcess, warmupRate, 3*time.Second))
	require.InDelta(t, 1/warmupRate, sharing.Wait(coldProcess).Seconds(), 0.001)
	clock.Advance(2990 * time.Millisecond)
	for sharing.Take(coldProcess) {
	}
	require.LessOrEqual(t, sharing.Wait(coldProcess), 10*time.Millisecond)
}

// Guards against limits of a server of which only one is kept, and against a token of the first
// that is lost because the second allows nothing.
func TestCombinedLimits(t *testing.T) {
	clock := fake.NewClock()
	named, _ := newTestLimiter(clock, 1)
	warmup, _ := newTestWarmup(clock, 0, 1)
	both := Combined{named, warmup}
	warmup.Update(viewOf(coldProcess, warmupRate, 10*time.Second))
	named.Observe(Response{Process: coldProcess, Named: true, Text: "2", Succeeded: true, SentAt: clock.Now()})
	share, limited := both.Share(coldProcess)
	require.True(t, limited)
	require.EqualValues(t, 2, share)
	taken := 0
	for range 1000 {
		clock.Advance(10 * time.Millisecond)
		if both.Available(coldProcess) && both.Take(coldProcess) {
			taken++
		}
	}
	require.InDelta(t, 20, taken, 1)

	clock.Advance(time.Second)
	require.False(t, both.Take(coldProcess), "no health check proves that it is warm")
	require.True(t, named.Available(coldProcess))
	warmup.Observe(checked(clock, "0"))
	require.True(t, both.Take(coldProcess))
	require.Zero(t, both.Remaining(coldProcess))
	require.Positive(t, both.Wait(coldProcess))
}

// Checks the hard bound for any limit and number of hosts, with hosts that send whenever they
// may, at random times: in no second more than the bound.
func TestNoWindowExceedsTheBoundOfAColdServer(t *testing.T) {
	cases := []struct {
		name           string
		overage, slack *rapid.Generator[float64]
	}{
		{"deployment B", rapid.Just[float64](warmupOverage), rapid.Just[float64](warmupSlack)},
		{"defaults", rapid.Just[float64](1), rapid.Just[float64](0)},
		{"any", rapid.Float64Range(0, 3), rapid.Float64Range(0, 20)},
		{"no slack", rapid.Float64Range(0, 3), rapid.Just[float64](0)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				count := rapid.IntRange(1, 60).Draw(t, "hosts")
				rate := rapid.Float64Range(0.2, 30).Draw(t, "rate")
				overage, slack := tc.overage.Draw(t, "overage"), tc.slack.Draw(t, "slack")
				clock := fake.NewClock()
				var fleet []*Warmup
				for i := range count {
					l, _ := newTestWarmup(clock, i, count)
					l.config.Overage, l.config.Slack = overage, slack
					l.Update(viewOf(coldProcess, verbenastand.RequestRate(rate), time.Hour))
					fleet = append(fleet, l)
				}
				var times []time.Time
				for range rapid.IntRange(1, 60).Draw(t, "steps") {
					clock.Advance(time.Duration(rapid.IntRange(1, 800).Draw(t, "pause")) * time.Millisecond)
					for _, l := range fleet {
						for l.Take(coldProcess) {
							times = append(times, clock.Now())
						}
					}
				}
				bound := overage*rate + slack
				if bound > 0 && bound < 1 {
					// Requests are whole; their rate is below the bound.
					bound = 1
				}
				require.LessOrEqual(t, float64(mostInASecond(times)), bound)
			})
		})
	}
}

// mostInASecond returns the largest number of requests in a second.
func mostInASecond(times []time.Time) (most int) {
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a host that sends more than a bound without slack allows in a second, and against
// a bound that leaves more of the limit unused than whole requests do.
func TestABoundWithoutSlack(t *testing.T) {
	cases := []struct {
		rate, overage float64
		most          int
		// want is the number of requests in 20 s.
		want float64
	}{
		{4.3, 1, 4, 4 * 20},
		{4, 1, 4, 4 * 20},
		{1, 1, 1, 20},
		{0.5, 1, 1, 10},
		{4.3, 0.5, 2, 2 * 20},
		{4.3, 0.1, 1, 0.43 * 20},
		{4.3, 0, 0, 0},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%g a second, overage %g", tc.rate, tc.overage), func(t *testing.T) {
			clock := fake.NewClock()
			l, _ := newTestWarmup(clock, 0, 1)
			l.config.Overage, l.config.Slack = tc.overage, 0
			l.Update(viewOf(coldProcess, verbenastand.RequestRate(tc.rate), time.Hour))
			var times []time.Time
			for range 2000 {
				clock.Advance(10 * time.Millisecond)
				for l.Take(coldProcess) {
					times = append(times, clock.Now())
				}
			}
			require.LessOrEqual(t, mostInASecond(times), tc.most)
			require.InDelta(t, tc.want, len(times), max(1, 0.05*tc.want))
		})
	}
}

func BenchmarkWarmupAvailable(b *testing.B) {
	for _, bm := range []struct {
		name   string
		rate   verbenastand.RequestRate
		warmup time.Duration
	}{{"no limit", 0, 0}, {"warm", warmupRate, 0}, {"cold", warmupRate, time.Hour}} {
		b.Run(bm.name, func(b *testing.B) {
			l, _ := newTestWarmup(fake.NewClock(), 0, 123)
			l.Update(viewOf(coldProcess, bm.rate, bm.warmup))
			for range b.N {
				l.Available(coldProcess)
			}
		})
	}
}
