package bounder

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against response headers that take memory that is not counted, ordinary responses that
// need some, and memory that is returned twice.
func TestHeadersOfResponsesAreCharged(t *testing.T) {
	cases := []struct {
		name   string
		lines  int
		memory int64
		ok     bool
	}{
		{"ordinary, no memory", 30, 0, true},
		{"many lines", 5000, 4 << 20, true},
		{"many lines, too little memory", 5000, 100 << 10, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			budget := NewBudget(tc.memory)
			h := NewHead(budget)
			ok := true
			for part := range strings.SplitAfterSeq(strings.Repeat("a: b\r\n", tc.lines), "\n") {
				if ok = h.Charge([]byte(part)); !ok {
					break
				}
			}
			require.Equal(t, tc.ok, ok)
			require.Equal(t, max(0, h.charged), tc.memory-budget.Left())
			h.Release()
			h.Release()
			require.Equal(t, tc.memory, budget.Left())
		})
	}
}
