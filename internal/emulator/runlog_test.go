package emulator

import (
	"testing"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// The check that all process tests rely on finds each kind of breach.
func TestVerifyKeysFindsEachBreach(t *testing.T) {
	run := func(key string) Run { return Run{Key: key} }
	cases := []struct {
		name    string
		runs    []Run
		results []Result
		breach  string
	}{
		{"ran twice", []Run{run("a"), run("a")}, nil, "key a ran 2 times"},
		{"told notRun", []Run{run("a")}, []Result{{Key: "a", Verdict: verbenastand.NotRun, Status: 503}}, "key a was told notRun and ran"},
		{"an earlier key told notRun", []Run{run("a")}, []Result{{Key: "b", NotRunKeys: []string{"a"}}}, "key a was told notRun and ran"},
		{"answered without a run", nil, []Result{{Key: "a", Whole: true}}, "key a was answered and ran 0 times"},
		{"a request told notRun each time", []Run{{ID: "x"}}, []Result{{ID: "x", NeverRan: true}}, "request x was told notRun each time and ran"},
		{"wrong answer", nil, []Result{{Wrong: "another's"}}, "wrong answer: another's"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { require.EqualError(t, VerifyKeys(c.runs, c.results), c.breach) })
	}
	require.NoError(t, VerifyKeys([]Run{run("a"), run(""), run("")}, []Result{{ID: "x", Key: "a", Whole: true, Verdict: verbenastand.Ran}}))
}
