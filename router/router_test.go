package router

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	verbenastand "github.com/verbenastand/verbenastand"
)

func route(name, host, prefix string, split ...verbenastand.WeightedService) verbenastand.Route {
	return verbenastand.NewRoute(verbenastand.RouteConfig{
		Name: verbenastand.RouteName(name), HostName: host, PathPrefix: prefix, Split: split,
	})
}

func tableOf(version verbenastand.TableVersion, routes ...verbenastand.Route) *verbenastand.RouteTable {
	return verbenastand.NewRouteTable(verbenastand.RouteTableConfig{Version: version, Routes: routes})
}

func TestFindSelectsTheLongestPrefix(t *testing.T) {
	r := NewRouter()
	_, found := r.Find("a.example", "/")
	require.False(t, found, "no table is known")
	r.Update(tableOf(1,
		route("root", "a.example", "/"), route("x", "a.example", "/x/"),
		route("xy", "a.example", "/x/y/"), route("other", "B.example", "/x/"),
	))
	cases := []struct {
		host, path, want string
	}{
		{"a.example", "/", "root"},
		{"a.example", "/z", "root"},
		{"a.example", "/x", "root"},
		{"a.example", "/x/", "x"},
		{"A.example:8080", "/x/y", "x"},
		{"a.example", "/x/y/z", "xy"},
		{"b.example", "/x/y/z", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
	}
	for _, tc := range cases {
		m, found := r.Find(tc.host, tc.path)
		require.Equal(t, tc.want != "", found, "%s %s", tc.host, tc.path)
		if found {
			require.Equal(t, tc.want, string(m.Route().Name()))
		}
	}
}

func TestUpdateRemovesAbsentRoutes(t *testing.T) {
	r := NewRouter()
	r.Update(tableOf(1, route("a", "h", "/a/"), route("b", "h", "/b/")))
	r.Update(tableOf(2, route("b", "h", "/b/")))
	_, found := r.Find("h", "/a/1")
	require.False(t, found)
	require.EqualValues(t, 2, r.Table().Version())
}

// TestSplitFollowsTheWeights: within any 200 consecutive requests each service
// must receive its share to within 0.1, for any weights and from any position in
// the sequence.
func TestSplitFollowsTheWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 2, 4).Draw(t, "weights")
		total := 0
		var split []verbenastand.WeightedService
		for i, w := range weights {
			total += w
			split = append(split, verbenastand.NewWeightedService(verbenastand.ServiceName(rune('a'+i)), w))
		}
		if total == 0 {
			t.Skip("no weight")
		}
		r := NewRouter()
		r.Update(tableOf(1, route("s", "h", "/", split...)))
		m, _ := r.Find("h", "/")
		for range rapid.IntRange(0, 500).Draw(t, "before") {
			m.NextService()
		}
		counts := make(map[verbenastand.ServiceName]int)
		const requests = 200
		for range requests {
			counts[m.NextService()]++
		}
		for _, p := range split {
			want := float64(p.Weight()) / float64(total)
			got := float64(counts[p.Service()]) / requests
			if got < want-0.1 || got > want+0.1 || (p.Weight() == 0 && got > 0) {
				t.Fatalf("weights %v: service %s got %.3f of the requests, want %.3f", weights, p.Service(), got, want)
			}
		}
	})
}

func TestSplitContinuesAcrossTables(t *testing.T) {
	split := []verbenastand.WeightedService{verbenastand.NewWeightedService("a", 1), verbenastand.NewWeightedService("b", 1)}
	r := NewRouter()
	counts := make(map[verbenastand.ServiceName]int)
	for version := range verbenastand.TableVersion(100) {
		r.Update(tableOf(version+1, route("s", "h", "/", split...)))
		m, _ := r.Find("h", "/")
		counts[m.NextService()]++
	}
	require.InDelta(t, 50, counts["a"], 5)
}

func BenchmarkFind(b *testing.B) {
	var routes []verbenastand.Route
	for i := range 500 {
		prefix := "/" + string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + "/"
		routes = append(routes, route(prefix, "h", prefix, verbenastand.NewWeightedService("s", 1)))
	}
	r := NewRouter()
	r.Update(tableOf(1, routes...))
	for b.Loop() {
		r.Find("h", "/zz/1")
	}
}

// Guards against a query that changes which service the next request goes to, or names another one.
func TestPeekServiceNamesTheNextOneAndLeavesIt(t *testing.T) {
	r := NewRouter()
	r.Update(tableOf(1, route("a", "h", "/", verbenastand.NewWeightedService("one", 3), verbenastand.NewWeightedService("two", 2))))
	m, _ := r.Find("h", "/")
	for range 100 {
		peeked := m.PeekService()
		require.Equal(t, peeked, m.PeekService())
		require.Equal(t, peeked, m.NextService())
	}
}
