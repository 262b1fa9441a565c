package sender

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastand/verbenastand/internal/bounder"
)

// Guards against response headers that take memory which nobody counts, ordinary responses that
// need some, and memory that is returned twice.
func TestHeadersOfResponsesAreCharged(t *testing.T) {
	cases := []struct {
		name   string
		lines  int
		memory int64
		err    error
	}{
		{"ordinary, no memory", 30, 0, nil},
		{"many lines", 5000, 4 << 20, nil},
		{"many lines, too little memory", 5000, 100 << 10, ErrNoMemory},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			budget := bounder.NewBudget(tc.memory)
			m := headMemory{source: budget}
			var err error
			for part := range strings.SplitAfterSeq(strings.Repeat("a: b\r\n", tc.lines), "\n") {
				if err = m.charge([]byte(part)); err != nil {
					break
				}
			}
			require.ErrorIs(t, err, tc.err)
			require.Equal(t, max(0, m.charged), tc.memory-budget.Left())
			m.release()
			m.release()
			require.Equal(t, tc.memory, budget.Left())
		})
	}
}
