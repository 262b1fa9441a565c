package follower

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// largeFollower returns a follower with a table of 1,480 routes and 421 servers.
func largeFollower() *Follower {
	f := newFollower(wallClock{})
	changes := []verbenastand.Change{largeTable(2, 1480)}
	for i := range 421 {
		changes = append(changes, registered(fmt.Sprintf("i-%010x", i*2654435761), verbenastand.Revision(i+3), nil))
	}
	f.apply(batch{changes: changes, full: true, revision: 500, confirmedAt: time.Now()})
	return f
}

// broadcastLargeTable applies a new table and encodes it for each of several peers that lack
// it.
func broadcastLargeTable(tb testing.TB, f *Follower, peers int) {
	before := f.Position()
	next := before.Revision + 1
	f.apply(batch{changes: []verbenastand.Change{largeTable(next, 1480)}, after: before.Revision, revision: next, confirmedAt: time.Now()})
	for range peers {
		_, err := encode(f.changesSince(before), time.Now())
		require.NoError(tb, err)
	}
}

// Guards against a host that encodes and compresses the same large table for each of its
// peers: with 0.16 of a core that took longer than the links did, hop after hop, and used up
// the time within which a change must be in force (issue 44, CONFIG).
func TestALargeTableIsEncodedOnceForAllPeers(t *testing.T) {
	f := largeFollower()
	one := testing.AllocsPerRun(5, func() { broadcastLargeTable(t, f, 1) })
	nine := testing.AllocsPerRun(5, func() { broadcastLargeTable(t, f, 9) })
	require.Less(t, nine, 1.5*one)
}

func BenchmarkBroadcastLargeTable(b *testing.B) {
	for _, peers := range []int{1, 9} {
		b.Run(fmt.Sprintf("%d peers", peers), func(b *testing.B) {
			f := largeFollower()
			for b.Loop() {
				broadcastLargeTable(b, f, peers)
			}
		})
	}
}

// Guards against encoded changes that do not match the message they are sent with, or that
// hosts of earlier versions can't decode: those read one compressed map.
func TestEncodedChangesAreRead(t *testing.T) {
	long := strings.Repeat("host-", 40_000)
	cases := []struct {
		name      string
		routes    int
		forwardTo []verbenastand.HostID
	}{
		{"a small table", 2, nil},
		{"a small table that is forwarded", 2, []verbenastand.HostID{"a", "b"}},
		{"a large table", 1480, nil},
		{"a large table that is forwarded", 1480, []verbenastand.HostID{"a", "b"}},
		{"more than one stored block", 1480, []verbenastand.HostID{verbenastand.HostID(long)}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Now()
			sent := batch{
				changes: []verbenastand.Change{largeTable(7, tc.routes)}, era: 1, after: 6, revision: 7, forwardTo: tc.forwardTo,
				confirmedAt: now.Add(-time.Second), encoded: &encodedChanges{},
			}
			for range 2 {
				data, err := encode(sent, now)
				require.NoError(t, err)
				m, err := decode(data)
				require.NoError(t, err)
				received := m.batch(now)
				received.encoded = sent.encoded
				require.Equal(t, sent, received)
			}
		})
	}
}

// Guards against encoded changes of an earlier state of the objects.
func TestEncodedChangesFollowTheObjects(t *testing.T) {
	f := largeFollower()
	encoded := func() []byte {
		data, err := encode(f.changesSince(verbenastand.Position{Revision: 500}), time.Time{})
		require.NoError(t, err)
		return data
	}
	position := f.Position()
	for i := range 3 {
		before := encoded()
		position.Revision++
		f.apply(batch{changes: []verbenastand.Change{registered(fmt.Sprint("new", i), position.Revision, nil)}, after: position.Revision - 1, revision: position.Revision})
		after := encoded()
		require.False(t, bytes.Equal(before, after))
		m, err := decode(after)
		require.NoError(t, err)
		require.Len(t, m.Changes, i+1)
	}
}
