package sender

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/bounder"
)

// Guards against a response for whose header this host has no memory, and that counts as the loss of the
// server's connection, which is evidence that the request has crashed it (the class of issue 41).
func TestAResponseWithoutMemoryIsNoLostConnection(t *testing.T) {
	server := newScriptedServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, okHead+strings.Repeat("a:\r\n", 3000)+"Content-Length: 0\r\n\r\n")
		return true
	})
	budget := bounder.NewBudget(100 << 10)
	r := request("r1")
	r.Memory = budget
	_, err := exchange(NewSender(Config{HeaderFormat: testHeaderFormat{}}), server.target, r)
	require.ErrorIs(t, err, ErrNoMemory)
	require.NotErrorIs(t, err, ErrConnectionLost)
	require.NotErrorIs(t, err, ErrUnexpectedResponse)
	require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
	require.EqualValues(t, 100<<10, budget.Left())
}
