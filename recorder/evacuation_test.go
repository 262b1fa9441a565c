package recorder

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Guards against an evacuation whose beginning or end is not logged, or is logged for each view.
func TestEvacuationsAreLoggedOnce(t *testing.T) {
	view := func(revision verbenastand.Revision, zones ...verbenastand.Zone) *verbenastand.View {
		c := verbenastand.ViewConfig{Revision: revision, Evacuated: make(map[verbenastand.Zone]bool), Servers: map[verbenastand.ServiceName][]verbenastand.Registration{
			"a": {verbenastand.NewRegistration(verbenastand.RegistrationConfig{Server: "a1", Zone: "z1"}), verbenastand.NewRegistration(verbenastand.RegistrationConfig{Server: "a2", Zone: "z2"})},
			"b": {verbenastand.NewRegistration(verbenastand.RegistrationConfig{Server: "b1", Zone: "z1"})},
		}}
		for _, z := range zones {
			c.Evacuated[z] = true
		}
		return verbenastand.NewView(c)
	}
	long := verbenastand.Zone(strings.Repeat("z", 1<<16))
	lines := record(t, 0, func(r *Recorder) {
		for _, v := range []*verbenastand.View{view(1), view(2, "z1"), view(3, "z1"), view(4, "z1", long), view(5, "z1"), view(6), view(7)} {
			r.EvacuationsChanged(v)
		}
	})
	var got []string
	var servers, revisions []float64
	for _, line := range lines {
		require.Equal(t, eventEvacuation, line["message"])
		fields := line["fields"].(map[string]any)
		require.LessOrEqual(t, len(fields["zone"].(string)), maxLoggedTarget)
		got = append(got, fields["change"].(string))
		servers, revisions = append(servers, fields["servers"].(float64)), append(revisions, fields["revision"].(float64))
	}
	require.Equal(t, []string{"began", "began", "ended", "ended"}, got)
	require.Equal(t, []float64{2, 0, 0, 2}, servers)
	require.Equal(t, []float64{2, 4, 5, 6}, revisions)
}
