package saturator

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// headerBytes is the size of a header at the limits of the hosts under test, with room for
// the end of the header.
const headerBytes = 16_000

// entryHeaderBytes is the same for entry hosts, whose default limit is 32 KB.
const entryHeaderBytes = 32_000

// sendTime is how long a set of clients sends, unless everything is sent before.
const sendTime = 8 * time.Second

// dialerFrom returns a dialer that connects from a loopback address.
func dialerFrom(ip string) *net.Dialer {
	return &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}, Timeout: 5 * time.Second}
}

// clientSet is a set of callers that send the same bytes and read everything that is sent back.
type clientSet struct {
	// addresses is the number of network addresses over which the connections are spread.
	addresses, connections int
	// message is sent times times on each connection.
	message string
	times   int
	// pace is the time between two bytes; if zero, everything is sent at once.
	pace time.Duration
	// unread leaves responses unread.
	unread bool
}

// saturate lets a set of clients send, then runs whileHeld before it closes the clients' connections.
func (h *host) saturate(address string, c clientSet, whileHeld func()) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTime)
	var sending, reading sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	for i := range c.connections {
		ip := fmt.Sprintf("127.0.0.%d", 2+i%max(1, c.addresses))
		sending.Go(func() {
			conn, err := dialerFrom(ip).DialContext(ctx, "tcp", address)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			if !c.unread {
				reading.Go(func() { _, _ = io.Copy(io.Discard, conn) })
			}
			c.send(ctx, conn)
		})
	}
	sent := make(chan struct{})
	go func() {
		sending.Wait()
		close(sent)
	}()
	for waiting := true; waiting; {
		select {
		case <-sent:
			waiting = false
		case <-time.After(20 * time.Millisecond):
		}
		h.countDescriptors()
	}
	// The host may still be parsing what it has received.
	time.Sleep(time.Second)
	h.countDescriptors()
	whileHeld()
	cancel()
	mu.Lock()
	for _, conn := range conns {
		_ = conn.Close()
	}
	mu.Unlock()
	reading.Wait()
}

func (c clientSet) send(ctx context.Context, conn net.Conn) {
	deadline, _ := ctx.Deadline()
	_ = conn.SetWriteDeadline(deadline)
	for range c.times {
		if c.pace == 0 {
			if _, err := io.WriteString(conn, c.message); err != nil {
				return
			}
			continue
		}
		for i := range len(c.message) {
			if _, err := io.WriteString(conn, c.message[i:i+1]); err != nil || ctx.Err() != nil {
				return
			}
			time.Sleep(c.pace)
		}
	}
}

const digits = "abcdefghijklmnopqrstuvwxyz0123456789"

// names returns different header names of up to three bytes.
func names(count int) []string {
	var all []string
	for _, prefix := range append([]string{""}, strings.Split(digits, "")...) {
		for _, first := range digits {
			for _, second := range digits {
				all = append(all, prefix+string(first)+string(second))
			}
		}
	}
	return all[:count]
}

// lines repeats lines, which may contain a number, up to a size.
func lines(size int, format func(i int) string) string {
	var b strings.Builder
	for i := 0; ; i++ {
		line := format(i)
		if b.Len()+len(line) > size-100 {
			return b.String()
		}
		b.WriteString(line)
	}
}

func sameName(int) string { return "a:\n" }

func differentNames() func(int) string {
	all := names(12_000)
	return func(i int) string { return all[i] + ":\n" }
}

func request(path, header string) string {
	service, _, _ := strings.Cut(path[1:], "/")
	return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nVerbenastand-Service: " + services[service] + "\r\n" + header + "\r\n"
}

// services holds the service of the requests below a path. That of requests that are held is
// another one, whose slots they may use up.
var services = map[string]string{"read": "reads", "held": "held", "long": "held", "many": "held", "last": "held"}

// Guards against a gateway that runs out of memory for requests of legal size, whose headers
// take up to 20 times their bytes: 1,600 of them are held in handlers.
func TestManyHeaderLines(t *testing.T) {
	cases := []struct {
		name    string
		clients clientSet
	}{
		{"lines of one name", clientSet{addresses: 1, connections: 50, times: 32, message: request("/held/a", lines(headerBytes, sameName))}},
		{"names that differ", clientSet{addresses: 1, connections: 50, times: 32, message: request("/held/a", lines(headerBytes, differentNames()))}},
		{"from many addresses", clientSet{addresses: 25, connections: 50, times: 32, message: request("/held/a", lines(headerBytes, differentNames()))}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newGateway(t)
			h.saturate(h.address, tc.clients, func() { h.requireResponse("/read/during") })
			h.requireResponse("/read/after")
			h.check()
		})
	}
}

// Guards against an entry host that runs out of memory for requests of legal size.
func TestManyHeaderLinesAtAnEntryHost(t *testing.T) {
	h := newEntryHost(t)
	message := request("/held/a", lines(entryHeaderBytes, differentNames()))
	h.saturate(h.address, clientSet{addresses: 4, connections: 300, times: 1, message: message}, func() { h.requireResponse("/read/during") })
	h.requireResponse("/read/after")
	h.check()
}

// Guards against an entry host that runs out of memory for concurrent requests of HTTP/2, whose
// headers are compressed.
func TestManyStreamsAtAnEntryHost(t *testing.T) {
	h := newEntryHost(t)
	header := make(http.Header)
	for i, name := range names(700) {
		header["X-"+name] = []string{strconv.Itoa(i)}
	}
	header.Set("Verbenastand-Service", "held")
	ctx, cancel := context.WithCancel(context.Background())
	var requests sync.WaitGroup
	for i := range 12 {
		transport := &http.Transport{DialContext: dialerFrom(fmt.Sprintf("127.0.0.%d", 2+i%4)).DialContext, Protocols: new(http.Protocols)}
		transport.Protocols.SetUnencryptedHTTP2(true)
		for range 100 {
			requests.Go(func() {
				r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.address+"/held/a", http.NoBody)
				r.Header = header
				response, err := transport.RoundTrip(r)
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			})
		}
	}
	time.Sleep(sendTime)
	h.countDescriptors()
	h.requireResponse("/read/during")
	cancel()
	requests.Wait()
	h.requireResponse("/read/after")
	h.check()
}

// Guards against hosts that open more descriptors than they have, or more memory, for callers
// that send nothing, or headers byte by byte, or leave their last response unread.
func TestManyConnections(t *testing.T) {
	cases := []struct {
		name    string
		start   func(*testing.T) *host
		port    int
		clients clientSet
	}{
		{"idle", newGateway, -1, clientSet{addresses: 4, connections: 900}},
		{"byte by byte", newGateway, -1, clientSet{addresses: 4, connections: 900, times: 1, message: request("/read/a", lines(headerBytes, sameName)), pace: 20 * time.Millisecond}},
		{"idle, readiness port", newGateway, 0, clientSet{addresses: 4, connections: 900}},
		{"byte by byte, directory port", newGateway, 1, clientSet{addresses: 4, connections: 900, times: 1, message: request("/read/a", lines(headerBytes, sameName)), pace: 20 * time.Millisecond}},
		{"idle, metrics port", newGateway, 2, clientSet{addresses: 4, connections: 900}},
		{"idle, entry host", newEntryHost, -1, clientSet{addresses: 4, connections: 900}},
		{"byte by byte, entry host", newEntryHost, -1, clientSet{addresses: 4, connections: 900, times: 1, message: request("/read/a", lines(headerBytes, sameName)), pace: 20 * time.Millisecond}},
		{"idle, API port of an entry host", newEntryHost, 0, clientSet{addresses: 4, connections: 900}},
		{"byte by byte, readiness port", newGateway, 0, clientSet{addresses: 4, connections: 900, times: 1, message: request("/read/a", lines(headerBytes, sameName)), pace: 20 * time.Millisecond}},
		{"byte by byte, metrics port", newGateway, 2, clientSet{addresses: 4, connections: 900, times: 1, message: request("/read/a", lines(headerBytes, sameName)), pace: 20 * time.Millisecond}},
		{"byte by byte, API port of an entry host", newEntryHost, 0, clientSet{addresses: 4, connections: 900, times: 1, message: request("/read/a", lines(headerBytes, sameName)), pace: 20 * time.Millisecond}},
		{"byte by byte, from many addresses", newGateway, -1, clientSet{addresses: 90, connections: 900, times: 1, message: request("/read/a", lines(headerBytes, differentNames())), pace: 2 * time.Millisecond}},
		{"byte by byte, from many addresses, entry host", newEntryHost, -1, clientSet{addresses: 90, connections: 900, times: 1, message: request("/read/a", lines(headerBytes, differentNames())), pace: 2 * time.Millisecond}},
		{"lingering", newGateway, -1, clientSet{addresses: 40, connections: 2000, times: 1, message: request("/last/a", "Connection: close\r\n"), unread: true}},
		{"lingering, entry host", newEntryHost, -1, clientSet{addresses: 40, connections: 2000, times: 1, message: request("/last/a", "Connection: close\r\n"), unread: true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := tc.start(t)
			address := h.address
			if tc.port >= 0 {
				address = h.others[tc.port]
			}
			h.saturate(address, tc.clients, func() { h.requireResponse("/read/during") })
			h.requireResponse("/read/after")
			h.check()
		})
	}
}

// Guards against responses of servers with headers that take more memory than a host has.
func TestManyHeaderLinesOfServers(t *testing.T) {
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			h := kind.start(t)
			message := request("/many/a", "")
			h.saturate(h.address, clientSet{addresses: 4, connections: 100, times: 32, message: message, unread: true}, func() { h.requireResponse("/read/during") })
			h.requireResponse("/read/after")
			h.check()
		})
	}
}

// respondUnusually writes the response of a server: one with very many header lines below
// /many/, a body of 2 MB below /long/, and one of 256 KB below /last/.
func respondUnusually(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/many/a":
		for _, name := range names(5000) {
			w.Header()["X-"+name] = []string{""}
		}
	case "/long/a":
		_, _ = w.Write(make([]byte, 2<<20))
	case "/last/a":
		_, _ = w.Write(make([]byte, 256<<10))
	}
}
