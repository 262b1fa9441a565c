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
	if c.level != other.level {
		return cmp.Compare(c.level, other.level)
	}
	return compareBool(c.late, other.late)
}

// backlog predicts how long the requests of one class wait at this host. It counts the grants
// that they could have had: those to requests that do not go before them.
type backlog struct {
	// interval is the moving average of the time between grants while requests wait, and
	// confidence its weight against what is assumed before any was observed.
	interval   float64
	confidence float64
	// lastGrant is the time of the last grant, or of the first request that waits.
	lastGrant time.Time
	// overtakenAt is when a request that goes before was last assigned a server.
	overtakenAt time.Time
}

// begin records that requests wait again.
func (b *backlog) begin(now time.Time) {
	b.confidence *= decayFactor(now.Sub(b.lastGrant), grantHalfLife)
	b.lastGrant, b.overtakenAt = now, now
}

// recordGrant records a grant that requests of the class have had, or could have had.
func (b *backlog) recordGrant(now time.Time) {
	known := b.confidence * (1 - grantWeight)
	b.confidence = known + grantWeight
	b.interval = (known*b.interval + grantWeight*float64(now.Sub(b.lastGrant))) / b.confidence
	b.lastGrant, b.overtakenAt = now, now
}

// recordOvertaken records a grant to a request that goes before those of the class.
func (b *backlog) recordOvertaken(now time.Time) { b.overtakenAt = now }

// expected returns the expected time until a number of requests ahead have been sent. Servers
// that take no request at all tell nothing of how long that will last.
func (b *backlog) expected(ahead int, assumed time.Duration) time.Duration {
	return time.Duration(float64(ahead) * b.mean(assumed))
}

// least returns the time that a number of requests ahead almost certainly take: the expected
// time less two standard deviations, if grants are independent.
func (b *backlog) least(ahead int, assumed time.Duration) time.Duration {
	n := float64(ahead)
	return time.Duration(max(0, n-2*math.Sqrt(n)) * b.mean(assumed))
}

// mean returns the time between grants. assumed is what it is expected to be before any was
// observed.
func (b *backlog) mean(assumed time.Duration) float64 {
	learned := b.confidence*b.interval + (1-b.confidence)*float64(assumed)
	return max(learned, float64(b.overtakenAt.Sub(b.lastGrant)))
}
