package balancer

import (
	"cmp"
	"math"
	"time"
)

const (
	// grantWeight is the weight of one grant in the moving average of the time
	// between grants.
	grantWeight = 0.2
	// grantHalfLife is the time without waiting requests after which what was learned of
	// the time between grants counts half.
	grantHalfLife = 2 * time.Second
	// backlogLifetime is the time after which nothing is left of that.
	backlogLifetime = time.Minute
)

// backlogClass holds requests that go before others, or after them, whatever their time.
type backlogClass struct {
	level int
	late  bool
}

// compare is negative if requests of the class go before those of another one.
func (c backlogClass) compare(other backlogClass) int {
	return cmp.Or(cmp.Compare(c.level, other.level), compareBool(c.late, other.late))
}

// backlog predicts how long the requests of one class wait at this host. It counts the grants
// that they could have had: those to requests that do not go before them.
type backlog struct {
	// assumed is the time between grants before any was observed.
	assumed float64
	// interval is the moving average of the time between grants while requests wait, less
	// assumed.
	interval float64
	// lastGrant is the time of the last grant, or of the first request that waits.
	lastGrant time.Time
	// overtakenAt is when a request that goes before was last assigned a server.
	overtakenAt time.Time
}

// begin records that requests wait again.
func (b *backlog) begin(now time.Time) {
	b.interval *= decayFactor(now.Sub(b.lastGrant), grantHalfLife)
	b.lastGrant, b.overtakenAt = now, now
}

// recordGrant records a grant that requests of the class have had, or could have had.
func (b *backlog) recordGrant(now time.Time) {
	b.interval += grantWeight * (float64(now.Sub(b.lastGrant)) - b.assumed - b.interval)
	b.lastGrant, b.overtakenAt = now, now
}

// recordOvertaken records a grant to a request that goes before those of the class.
func (b *backlog) recordOvertaken(now time.Time) { b.overtakenAt = now }

// expected returns the expected time until a number of requests ahead have been sent. Servers
// that take no request at all tell nothing of how long that will last.
func (b *backlog) expected(ahead int) time.Duration {
	return time.Duration(float64(ahead) * b.meanInterval())
}

// least returns the time that a number of requests ahead almost certainly take: the expected
// time less two standard deviations, if grants are independent.
func (b *backlog) least(ahead int) time.Duration {
	n := float64(ahead)
	return time.Duration(max(0, n-2*math.Sqrt(n)) * b.meanInterval())
}

func (b *backlog) meanInterval() float64 {
	return max(b.assumed+b.interval, float64(b.overtakenAt.Sub(b.lastGrant)))
}
