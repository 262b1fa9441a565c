package e2e

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/emulator"
)

func TestRequestPathAcrossProcesses(t *testing.T) {
	k := newCluster(t, clusterConfig{deployment: emulator.Qalib().Reduced(2, 2), entries: 4})
	caller := k.caller()
	ctx := context.Background()

	plain := caller.Do(ctx, emulator.Request{Service: "catalogue", Method: http.MethodGet, Path: "/tins", ID: "a", Timeout: 5 * time.Second})
	require.True(t, plain.Complete, "%+v", plain)

	keyed := emulator.Request{Service: "bookings", Method: http.MethodPost, Path: "/reserve", ID: "b", Body: []byte("tin"), Timeout: 5 * time.Second, Keyed: true}
	first := caller.Do(ctx, keyed)
	require.True(t, first.Complete, "%+v", first)

	homes, other := k.homes("bookings")
	require.NotNil(t, other)
	for _, e := range append(homes, other) {
		retry := caller.Send(ctx, e.call, keyed, first.Key, 1)
		require.True(t, retry.Complete, "retry at %s: %+v", e.id, retry)
	}
	require.Equal(t, map[string]int{first.Key: 1}, k.runsPerKey())

	_, other = k.homes("catalogue")
	misdirected := caller.Send(ctx, other.call, emulator.Request{Service: "catalogue", Method: http.MethodGet, Path: "/tins", ID: "c", Timeout: 5 * time.Second}, "", 0)
	require.True(t, misdirected.Complete, "%+v", misdirected)
	require.Contains(t, k.get(other.api, "/metrics"), `verbenastand_forwards_total{result="ok"}`)

	unknown := caller.Send(ctx, other.call, emulator.Request{Service: "nowhere", Method: http.MethodGet, Path: "/", ID: "d", Timeout: time.Second}, "", 0)
	require.Equal(t, http.StatusNotFound, unknown.Status)
	require.Equal(t, verbenastand.NotRun, unknown.Verdict)
}
