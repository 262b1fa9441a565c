package verbenastand

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against names that allow more than they state, and against lists without any valid name that
// allow everything.
func TestRegions(t *testing.T) {
	var many []Region
	for i := range MaxRegions + 10 {
		many = append(many, Region(fmt.Sprintf("r%03d", i)))
	}
	long := Region(strings.Repeat("x", MaxRegionNameBytes+1))
	cases := []struct {
		name            string
		regions         Regions
		allowed, denied []Region
		count           int
	}{
		{"all", Regions{}, []Region{"a", "", long}, nil, 0},
		{"two", NewRegions([]Region{"b", "a", "b"}), []Region{"a", "b"}, []Region{"", "c", "ab", "A", "a\x00b"}, 2},
		{"none", NewRegions(nil), nil, []Region{"", "a", "\x00"}, 0},
		{"no valid name", NewRegions([]Region{"", long, "a\x00"}), nil, []Region{"", "a", long, "a\x00"}, 0},
		{"the longest name", NewRegions([]Region{long[1:]}), []Region{long[1:]}, []Region{long}, 1},
		{"too many", NewRegions(many), many[:MaxRegions], many[MaxRegions:], MaxRegions},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for _, r := range tc.allowed {
				require.True(t, tc.regions.Allows(r), "%q", r)
			}
			for _, r := range tc.denied {
				require.False(t, tc.regions.Allows(r), "%q", r)
			}
			require.Len(t, tc.regions.Names(), tc.count)
			if tc.regions.Restricted() {
				require.Equal(t, tc.regions, NewRegions(tc.regions.Names()))
			}
		})
	}
	require.Equal(t, NewRegions([]Region{"a", "b"}), NewRegions([]Region{"b", "a"}))
}
