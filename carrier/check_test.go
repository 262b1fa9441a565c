package carrier

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/sender"
)

// Guards against health checks without end at a server that fails them while its other
// connections stay in use (issue 37).
func TestIdentificationEndsWhileConnectionsAreReturned(t *testing.T) {
	const returned = 1000
	s := sender.NewSender(sender.Config{
		HeaderFormat: testHeaderFormat{},
		Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				_, _ = far.Read(make([]byte, 1))
				_ = far.Close()
			}()
			return near, nil
		},
	})
	defer s.Close()
	r := verbenastand.NewRegistration(verbenastand.RegistrationConfig{Server: "s1", Service: "svc", Address: "10.0.0.1:1"})
	returnConnection := func() {
		c, err := s.ConnectNew(t.Context(), targetOf(r))
		require.NoError(t, err)
		s.PutIdle(c)
	}
	returnConnection()
	checks := 0
	checker := &HealthChecker{Sender: s, Names: testHeaderFormat{}.Names(), OnCheck: func(verbenastand.ServiceName, bool) {
		checks++
		if checks < returned {
			returnConnection()
		}
	}}
	_, err := checker.Identify(t.Context(), r, "/health")
	require.Error(t, err)
	require.Greater(t, checks, 1, "idle connections are tried first")
	require.LessOrEqual(t, checks, sender.DefaultMaxIdle+1)
}
