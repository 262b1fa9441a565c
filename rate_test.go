package verbenastand_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

func TestParseRequestRate(t *testing.T) {
	valid := []struct {
		text string
		want verbenastand.RequestRate
	}{
		{"3", 3}, {"4.7", 4.7}, {" 0.25 ", 0.25}, {"0", 0}, {".5", 0.5}, {"1e2", 100},
	}
	for _, tc := range valid {
		rate, err := verbenastand.ParseRequestRate(tc.text)
		require.NoError(t, err, tc.text)
		require.Equal(t, tc.want, rate, tc.text)
	}
	for _, text := range []string{"", "-1", "NaN", "Inf", "-Inf", "1e999", "0x10", "1_0", "3/s", "3, 4", "unlimited", "\x00"} {
		_, err := verbenastand.ParseRequestRate(text)
		require.Error(t, err, text)
	}
}

func TestRequestRateInterval(t *testing.T) {
	require.Equal(t, 250*time.Millisecond, verbenastand.RequestRate(4).Interval(time.Minute))
	require.Equal(t, time.Minute, verbenastand.RequestRate(0).Interval(time.Minute))
	require.Equal(t, time.Minute, verbenastand.RequestRate(0.001).Interval(time.Minute))
}
