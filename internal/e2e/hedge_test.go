package e2e

import (
	"context"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastand/verbenastand/internal/emulator"
)

// A server freezes while it runs requests. Idempotent requests must be hedged to
// another server and complete long before their deadlines, within the retry budget
// that earlier requests have accumulated.
func TestRequestsOnFrozenServerAreHedged(t *testing.T) {
	k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 4})
	c := k.caller()
	homes, _ := k.homes("catalogue")
	for i := range 400 {
		require.True(t, c.Send(context.Background(), homes[i%len(homes)].call, getRequest("catalogue", "warm-"+strconv.Itoa(i), 0), "", 0).Complete)
	}
	frozen := k.servers["catalogue-1"]
	frozen.signal(syscall.SIGSTOP)
	defer frozen.signal(syscall.SIGCONT)
	results := make([]emulator.Result, 40)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			results[i] = c.Send(context.Background(), homes[i%len(homes)].call, getRequest("catalogue", "f-"+strconv.Itoa(i), 0), "", 0)
		})
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	for i, r := range results {
		require.True(t, r.Complete, "request %d: %+v", i, r)
	}
}
