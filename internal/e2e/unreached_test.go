package e2e

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Guards against an entry host that holds requests until their deadlines while no host
// reaches a server of their service (issue 26, RECOVER).
func TestAServiceWithoutServersIsRefusedAtOnce(t *testing.T) {
	k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 3})
	c := k.caller()
	ctx := context.Background()
	for id, s := range k.servers {
		if strings.HasPrefix(string(id), "bookings") {
			s.kill()
		}
	}
	n := 0
	send := func(e *entry) (verbenastand.Verdict, string, time.Duration) {
		n++
		r := getRequest("bookings", "down-"+strconv.Itoa(n), 0)
		began := time.Now()
		result := c.Send(ctx, e.call, r, "", 0)
		return result.Verdict, result.Reason, time.Since(began)
	}
	for _, e := range k.entries {
		k.waitUntil(e.id+" refuses at once", func() bool {
			verdict, reason, _ := send(e)
			return verdict == verbenastand.NotRun && reason == verbenastand.ReasonNoServer.String()
		})
	}
	for _, e := range k.entries {
		verdict, reason, took := send(e)
		require.Equal(t, verbenastand.NotRun, verdict)
		require.Equal(t, verbenastand.ReasonNoServer.String(), reason)
		require.Less(t, took, time.Second, "a quarter of the deadline")
		require.True(t, c.Send(ctx, e.call, getRequest("catalogue", "other-"+e.id, 0), "", 0).Complete, "other services are served")
	}
	for id, s := range k.servers {
		if strings.HasPrefix(string(id), "bookings") {
			s.start(t)
		}
	}
	for _, e := range k.entries {
		k.waitUntil(e.id+" serves again", func() bool { return c.Send(ctx, e.call, getRequest("bookings", "back-"+e.id, 0), "", 0).Complete })
	}
}
