package e2e

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// sendSlow sends a request that its server works on for a while, and returns a channel for
// the status of the response.
func (k *cluster) sendSlow(e *entry, id string) <-chan int {
	for server := range k.servers {
		k.setFault(server, "slow=100")
	}
	status := make(chan int, 1)
	go func() {
		defer close(status)
		r, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/tins?id=%s", e.call, id), strings.NewReader("tin"))
		r.Host = "catalogue"
		r.Header.Set(verbenastand.HeaderTimeout, "60000")
		response, err := (&http.Client{Transport: &http.Transport{}}).Do(r)
		if err != nil {
			return
		}
		_ = response.Body.Close()
		status <- response.StatusCode
	}()
	k.waitUntil("the request runs", func() bool { return k.runsWithID(id) > 0 })
	return status
}

// Guards against an entry host that ends at a SIGHUP, with every pending request.
func TestASighupEndsNoEntryHost(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 1, flags: []string{"--drain-timeout", "1s"}})
	e := k.entries[0]
	status := k.sendSlow(e, "pending")
	e.signal(syscall.SIGHUP)
	require.Equal(t, http.StatusOK, <-status)
	require.True(t, e.running())
	e.signal(syscall.SIGTERM)
	<-e.done
	require.Contains(t, e.output.String(), "reloading")
}

// Guards against an entry host that ends because a SIGHUP arrives before it has read its
// files. The file of its certificate is a pipe, so that the process waits for the test.
func TestASighupBeforeTheCertificateIsReadEndsNoEntryHost(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{deployment: smallDeployment()})
	path := filepath.Join(t.TempDir(), "certificate")
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	k.addEntry(0, []string{"--cert-file", path})
	e := k.entries[0]
	e.start(t)
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	require.NoError(t, err)
	e.signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	require.True(t, e.running(), "the SIGHUP ended the process")

	certificate, err := os.ReadFile(k.files.CertFile)
	require.NoError(t, err)
	require.NoError(t, os.Remove(path))
	require.NoError(t, os.WriteFile(path, certificate, 0o600))
	_, err = pipe.Write(certificate)
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	k.waitUntil("the host serves", func() bool { return k.status(e) != nil })
}

// Guards against an entry host that ends by SIGPIPE because the reader of its lines has gone,
// with every pending request.
func TestAClosedOutputEndsNoEntryHost(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{deployment: smallDeployment()})
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	t.Cleanup(func() { _ = reader.Close() })
	k.addEntry(0, nil)
	e := k.entries[0]
	e.file = writer
	e.start(t)
	require.NoError(t, writer.Close())
	k.waitUntil("the host serves", func() bool { s := k.status(e); return s != nil && s.TicketNumber > 0 })
	status := k.sendSlow(e, "pending")
	require.NoError(t, reader.Close())
	k.ticket.Number++
	k.publish(k.ticket)
	k.waitUntil("the host writes a line", func() bool { s := k.status(e); return !e.running() || s != nil && s.TicketNumber > 1 })
	require.Equal(t, http.StatusOK, <-status)
	require.True(t, e.running())
}

// Guards against an entry host that serves no request once the reader of its lines stalls.
func TestAStalledOutputDelaysNoRequest(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{deployment: smallDeployment()})
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	t.Cleanup(func() { _ = reader.Close() })
	k.addEntry(0, []string{"--drain-timeout", "1s"})
	e := k.entries[0]
	e.file = writer
	e.start(t)
	k.waitUntil("the host serves", func() bool { s := k.status(e); return s != nil && s.TicketNumber > 0 })
	fillPipe(writer)
	for range 3 {
		k.ticket.Number++
		k.publish(k.ticket)
		k.waitUntil("the ticket takes effect", func() bool { s := k.status(e); return s != nil && s.TicketNumber == int64(k.ticket.Number) })
	}
	require.Equal(t, http.StatusOK, <-k.sendSlow(e, "stalled"))
	e.signal(syscall.SIGTERM)
	select {
	case <-e.done:
	case <-time.After(5 * time.Second):
		require.FailNow(t, "the process did not end")
	}
}

// fillPipe fills a pipe whose reader stalls, and closes the test's end once that has gone.
func fillPipe(writer *os.File) {
	const moreThanAPipeHolds = 4 << 20
	go func() {
		_, _ = writer.Write(make([]byte, moreThanAPipeHolds))
		_ = writer.Close()
	}()
	time.Sleep(100 * time.Millisecond)
}
