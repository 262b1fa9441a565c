package commander

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/require"

	"github.com/verbenastand/verbenastand/configurer"
)

func TestGatewaySettingsAreValidatedAtStart(t *testing.T) {
	file := func(text string) string {
		path := filepath.Join(t.TempDir(), "settings")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	cases := []struct {
		name, settings string
		args           []string
		want           string
	}{
		{"no settings", "", nil, "--call-address"},
		{"no settings file", "missing", nil, "missing"},
		{"a truncated settings file", file(`{"nodeName":`), nil, "unexpected end"},
		{"settings without ports", file(`{"nodeName":"h"}`), nil, "without ports"},
		{"a log share out of bounds", "", []string{"--log-share", "2"}, "--log-share: 2"},
		{"a malformed advertised address", "", []string{"--peer-advertise", "nowhere"}, "--peer-advertise: \"nowhere\""},
		{"a log share that is not a number", "", []string{"--log-share", "NaN"}, "--log-share: NaN"},
		{"a collector without a scheme", "", []string{"--trace-endpoint", "collector:4318"}, "--trace-endpoint"},
		{"a limit of extra server time out of bounds", "", []string{"--hedge-limit", "1.5"}, "--hedge-limit: 1.5"},
		{"a limit of extra server time that is not a number", "", []string{"--hedge-limit", "NaN"}, "--hedge-limit: NaN"},
		{"an unknown flag", "", []string{"--no-such-flag"}, "no-such-flag"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Setenv("VERBENASTAND_NODE_FILE", tc.settings)
			var out, errs bytes.Buffer
			code := Run(Config{Args: append([]string{"gateway"}, tc.args...), Stdout: &out, Stderr: &errs})
			require.Equal(t, exitUsage, code)
			require.Contains(t, errs.String(), tc.want)
		})
	}
}

// Guards against a limit of zero, which sends no hedges, that is taken as one that is not set.
func TestAHedgeLimitOfZeroIsSet(t *testing.T) {
	parse := func(args ...string) *float64 {
		var s configurer.Gateway
		_, err := flags.NewParser(&s, flags.None).ParseArgs(args)
		require.NoError(t, err)
		return s.HedgeLimit
	}
	require.Nil(t, parse())
	require.Zero(t, *parse("--hedge-limit", "0"))
	t.Setenv("VERBENASTAND_HEDGE_LIMIT", "0.05")
	require.InDelta(t, 0.05, *parse(), 0)
}

func TestExplainReadsFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	lines := `{"fields":{"host":"h1","id":"r1","status":503,"reason":"overload"},"level":"info","timestamp":"2026-01-12T03:42:01Z","message":"refused"}
{"fields":{"ho
`
	require.NoError(t, os.WriteFile(path, []byte(lines), 0o600))
	plot := filepath.Join(t.TempDir(), "plot.svg")
	cases := []struct {
		name string
		args []string
		code int
		out  string
		errs string
	}{
		{"a timeline", []string{"explain", "r1", path}, exitOK, "refused status=503 reason=overload", "1 of 2 lines are malformed"},
		{"an unknown request", []string{"explain", "r2", path}, exitError, "", "no log line found for this request"},
		{"no request ID", []string{"explain"}, exitUsage, "", "missing"},
		{"no such file", []string{"explain", "r1", path + "x"}, exitError, "", "no such file"},
		{"a summary with a plot", []string{"explain", "--summary", "--plot", plot, path}, exitOK, "overload", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			require.Equal(t, tc.code, Run(Config{Args: tc.args, Stdout: &out, Stderr: &errs}))
			require.Contains(t, out.String(), tc.out)
			require.Contains(t, errs.String(), tc.errs)
		})
	}
	data, err := os.ReadFile(plot)
	require.NoError(t, err)
	require.Contains(t, string(data), "</svg>")
}
