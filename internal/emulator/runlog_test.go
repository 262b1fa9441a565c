package emulator

import (
	"testing"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Guards against violations that VerifyKeys misses: the end-to-end tests rely on it.
func TestVerifyKeysFindsEachViolation(t *testing.T) {
	run := func(key string) Run { return Run{Key: key} }
	cases := []struct {
		name      string
		runs      []Run
		results   []Result
		violation string
	}{
		{"ran twice", []Run{run("a"), run("a")}, nil, "key a ran 2 times"},
		{"ran despite notRun", []Run{run("a")}, []Result{{Key: "a", Verdict: verbenastand.NotRun, Status: 503}}, "key a got notRun but ran"},
		{"an earlier key ran despite notRun", []Run{run("a")}, []Result{{Key: "b", NotRunKeys: []string{"a"}}}, "key a got notRun but ran"},
		{"response without a run", nil, []Result{{Key: "a", Complete: true}}, "key a was answered but ran 0 times"},
		{"a request ran despite notRun for each attempt", []Run{{ID: "x"}}, []Result{{ID: "x", NeverRan: true}}, "request x got notRun for each attempt but ran"},
		{"wrong response", nil, []Result{{ResponseError: "another's"}}, "wrong response: another's"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { require.EqualError(t, VerifyKeys(c.runs, c.results), c.violation) })
	}
	require.NoError(t, VerifyKeys([]Run{run("a"), run(""), run("")}, []Result{{ID: "x", Key: "a", Complete: true, Verdict: verbenastand.Ran}}))
}
