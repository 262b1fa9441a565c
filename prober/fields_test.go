package prober

import (
	"testing"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
	"github.com/verbenastand/verbenastand/scheduler"
)

// Guards against a load report that is read from an invalid response.
func TestFieldsThatAreNone(t *testing.T) {
	for _, line := range []string{"Odd Name: x", "Odd-Name : x", "Odd-Name\t: x", "Odd\x01Name: x", ": x"} {
		address := fake.RespondOnce(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n"+verbenastand.HeaderLoad+": TEXT named_metrics.running=3\r\nContent-Length: 0\r\n\r\n")
		ok, report := getHealth(newClient(), verbenastand.NewServer(verbenastand.ServerConfig{Address: address, Slots: 6}))
		require.False(t, ok, line)
		require.Equal(t, scheduler.NoReport, report, line)
	}
}
