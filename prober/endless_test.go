package prober

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
	"github.com/verbenastand/verbenastand/scheduler"
)

// Guards against the memory of health checks whose responses don't end (issue 58): 16 may be read at once.
func TestHeadersWithoutEnd(t *testing.T) {
	for _, tc := range fake.EndlessHeaders {
		t.Run(tc.Name, func(t *testing.T) {
			address, sent, closed := tc.SendUntilClosed(t)
			began := time.Now()
			ok, report := getHealth(newClient(), verbenastand.NewServer(verbenastand.ServerConfig{Address: address, Slots: 6}))
			require.False(t, ok)
			require.Equal(t, scheduler.NoReport, report)
			<-closed
			require.Less(t, time.Since(began), 10*probeTimeout)
			require.Less(t, sent.Load(), int64(fake.MaxSent))
		})
	}
}
