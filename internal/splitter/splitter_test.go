package splitter

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Checks that elements come back as they were written, whatever their texts hold.
func TestSplitReturnsTheElements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOf(rapid.OneOf(
			rapid.Map(rapid.String(), func(s string) any { return s }),
			rapid.Map(rapid.SliceOf(rapid.String()), func(s []string) any { return s }),
			rapid.Map(rapid.MapOf(rapid.String(), rapid.Float64Range(-1e9, 1e9)), func(m map[string]float64) any { return m }),
		)).Draw(t, "values")
		data, err := json.MarshalIndent(values, "", " ")
		require.NoError(t, err)
		elements, err := Split(data)
		require.NoError(t, err)
		require.Len(t, elements, len(values))
		for i, e := range elements {
			want, err := json.Marshal(values[i])
			require.NoError(t, err)
			require.JSONEq(t, string(want), string(e))
		}
	})
}

func FuzzSplit(f *testing.F) {
	f.Add([]byte(`[1, "a]", {"b": [2, 3]}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var want []json.RawMessage
		if json.Unmarshal(data, &want) != nil || want == nil {
			_, _ = Split(data)
			return
		}
		elements, err := Split(data)
		require.NoError(t, err)
		require.Len(t, elements, len(want))
		for i := range want {
			require.Equal(t, string(want[i]), string(elements[i]))
		}
	})
}
