package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/merger"
)

// slowMachineMargin is what a busy machine may add to the end of the intake.
const slowMachineMargin = 800 * time.Millisecond

// Guards against a stopping entry host that takes requests until the end of its drain
// timeout and then closes their connections without a response (issue 36).
func TestAStoppingEntryHostAnswersWhatItTakes(t *testing.T) {
	cases := []struct {
		name         string
		drainTimeout time.Duration
		validity     string
		// intake is when the host must have stopped taking requests.
		intake time.Duration
	}{
		{"lookups are valid for a part of the time", 6 * time.Second, "1s", time.Second},
		{"lookups are valid for longer than the time", 3 * time.Second, "10s", 1500 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 2, flags: []string{
				"--drain-timeout", tc.drainTimeout.String(), "--answer-validity", tc.validity,
			}})
			for id := range k.servers {
				k.setFault(id, "slow=10000")
			}
			k.publish(merger.Ticket{Number: 2, Services: []merger.ServiceObject{{Name: "catalogue", Timeout: "10m"}}})
			k.waitUntil("ticket 2", func() bool { return k.requireStatus(k.entries[0]).TicketNumber == 2 })
			stopped := k.entries[0]
			send := func(name, method, fields, body string) (net.Conn, *bufio.Reader) {
				conn, err := net.Dial("tcp", stopped.call)
				require.NoError(t, err, name)
				t.Cleanup(func() { _ = conn.Close() })
				_ = conn.SetDeadline(time.Now().Add(tc.drainTimeout + 5*time.Second))
				_, err = fmt.Fprintf(conn, "%s /tins?id=%s HTTP/1.1\r\nHost: catalogue\r\n%s: 60000\r\n%s\r\n%s", method, name, verbenastand.HeaderTimeout, fields, body)
				require.NoError(t, err, name)
				return conn, bufio.NewReader(conn)
			}
			_, idempotent := send("idempotent", "GET", "", "")
			_, once := send("once", "POST", "Content-Length: 3\r\n", "tin")
			upload, uploading := send("upload", "POST", "Content-Length: 3\r\n", "t")
			k.waitUntil("both requests run", func() bool { return k.runsWithID("idempotent") > 0 && k.runsWithID("once") > 0 })
			stopped.signal(syscall.SIGTERM)
			signalled := time.Now()
			_, during := send("during", "GET", "", "")
			k.waitUntil("a request of a caller that does not know of the stop runs", func() bool { return k.runsWithID("during") > 0 })
			k.waitUntil("no connections are accepted", func() bool {
				conn, err := net.Dial("tcp", stopped.call)
				if err == nil {
					_ = conn.Close()
				}
				return err != nil
			})
			require.GreaterOrEqual(t, time.Since(signalled), tc.intake*9/10, "callers are served as before at first")
			require.Less(t, time.Since(signalled), tc.intake+slowMachineMargin)
			_, err := io.WriteString(upload, "in")
			require.NoError(t, err)
			requireRefusal(t, uploading, http.StatusServiceUnavailable, verbenastand.NotRun)
			for _, reader := range []*bufio.Reader{idempotent, once, during} {
				requireRefusal(t, reader, http.StatusGatewayTimeout, verbenastand.MayHaveRun)
			}
			<-stopped.done
			require.Less(t, time.Since(signalled), tc.drainTimeout+2*time.Second)
			require.Greater(t, time.Since(signalled), tc.drainTimeout*5/6, "servers at work get their time")
			require.Zero(t, k.runsWithID("upload"))
		})
	}
}

// Guards against an entry host that resets a connection while its caller still reads the last
// response, because the caller sends another request behind it (issue 40, LOST).
func TestAStoppingEntryHostDeliversItsLastResponse(t *testing.T) {
	const size = 1 << 20
	cases := []struct {
		name string
		// sent is when the caller sends its request, after the signal, and next when it sends
		// another one behind it.
		sent, next time.Duration
	}{
		{"the last response of a connection", 0, 1500 * time.Millisecond},
		{"an idle connection at the end of the intake", -800 * time.Millisecond, 2 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 2, flags: []string{
				"--drain-timeout", "6s", "--answer-validity", "1s",
			}})
			k.waitUntil("ticket 1", func() bool { return k.requireStatus(k.entries[0]).TicketNumber == 1 })
			stopped := k.entries[0]
			conn, err := net.Dial("tcp", stopped.call)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			send := func(id string) {
				_, err := fmt.Fprintf(conn, "GET /tins?id=%s&size=%d HTTP/1.1\r\nHost: catalogue\r\n%s: 5000\r\n\r\n", id, size, verbenastand.HeaderTimeout)
				require.NoError(t, err)
			}
			signal := func() time.Time {
				stopped.signal(syscall.SIGTERM)
				return time.Now()
			}
			var signalled time.Time
			if tc.sent < 0 {
				send("first")
				time.Sleep(-tc.sent)
				signalled = signal()
			} else {
				signalled = signal()
				time.Sleep(200 * time.Millisecond)
				send("first")
			}
			time.Sleep(time.Until(signalled.Add(tc.next)))
			send("second")
			time.Sleep(300 * time.Millisecond)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			n, err := io.Copy(io.Discard, response.Body)
			require.NoError(t, err, "after %d bytes", n)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.EqualValues(t, size, n)
			require.NoError(t, conn.Close())
			<-stopped.done
			require.Less(t, time.Since(signalled), 5*time.Second, "the process waits for no caller that has left")
		})
	}
}

func requireRefusal(t *testing.T, reader *bufio.Reader, status int, verdict verbenastand.Verdict) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.Equal(t, status, response.StatusCode)
	require.Equal(t, verdict.String(), response.Header.Get(verbenastand.HeaderVerdict))
	require.Equal(t, "draining", response.Header.Get(verbenastand.HeaderReason))
}
