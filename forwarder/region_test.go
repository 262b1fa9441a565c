package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Guards against a host that sends a delegated request to a region that its route does not allow.
func TestRegionsOfDelegatedRequests(t *testing.T) {
	for _, regions := range []verbenastand.Regions{{}, verbenastand.NewRegions(nil), verbenastand.NewRegions([]verbenastand.Region{"north"})} {
		text, err := encodeRoute(verbenastand.NewRoute(verbenastand.RouteConfig{Name: "r", Timeout: time.Second, MaxAttempts: 2, Regions: regions}), 1)
		require.NoError(t, err)
		route, _, err := decodeRoute(text)
		require.NoError(t, err)
		require.Equal(t, regions, route.Regions())
	}
}
