package follower

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

// regional returns a table with one route for each of the given regions.
func regional(list ...verbenastand.Regions) *verbenastand.RouteTable {
	c := verbenastand.RouteTableConfig{Version: 7}
	for _, r := range list {
		c.Routes = append(c.Routes, verbenastand.NewRoute(verbenastand.RouteConfig{
			Name: "r", HostName: "h", PathPrefix: "/", Timeout: 1, MaxAttempts: 1, Regions: r,
			Split: []verbenastand.WeightedService{verbenastand.NewWeightedService("s", 1)},
		}))
	}
	return verbenastand.NewRouteTable(c)
}

// Guards against regions that are lost or invented between two hosts, and against messages of earlier
// versions that become unreadable.
func TestRegionsPassBetweenHosts(t *testing.T) {
	list := []verbenastand.Regions{{}, verbenastand.NewRegions(nil), verbenastand.NewRegions([]verbenastand.Region{"north", "south"})}
	data, err := cbor.Marshal(tableRecordOf(regional(list...)))
	require.NoError(t, err)
	var record tableRecord
	require.NoError(t, cbor.Unmarshal(data, &record))
	for i, r := range record.table().Routes() {
		require.Equal(t, list[i], r.Regions())
	}
	// Hosts of earlier versions know the keys 1 to 9 of a route.
	var earlier struct {
		Routes []map[int]any `cbor:"2,keyasint"`
	}
	require.NoError(t, cbor.Unmarshal(data, &earlier))
	require.NotContains(t, earlier.Routes[0], 10, "a route without restriction is encoded as before")
	require.NotContains(t, earlier.Routes[0], 11)
	require.Contains(t, earlier.Routes[1], 10)
	// What another host sends is bounded.
	many := make([]verbenastand.Region, 1000)
	for i := range many {
		many[i] = verbenastand.Region(rune('a' + i))
	}
	require.Len(t, routeRecord{Restricted: true, Regions: many}.route().Regions().Names(), verbenastand.MaxRegions)
}

// Guards against a host that refuses requests of a route which does not allow its own region, since it
// does not know the servers of other zones yet.
func TestRoutesOfOtherRegionsNeedTheWholeList(t *testing.T) {
	for _, region := range []verbenastand.Region{"north", "south", ""} {
		f := NewFollower(Config{
			Clock: fake.NewClock(), Self: startingHost(), Regions: verbenastand.ZoneRegions{"z": region}, OnView: func(*verbenastand.View) {},
		})
		table := verbenastand.Change{Key: "config", Revision: 2, Table: regional(verbenastand.Regions{}, verbenastand.NewRegions([]verbenastand.Region{"north"}))}
		f.applyPart(verbenastand.Part{Changes: append(servers("s", "z", 1, 9), table), First: true, Routing: true})
		require.Equal(t, region == "north", f.Serviceable())
	}
}
