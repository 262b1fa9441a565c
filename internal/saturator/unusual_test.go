package saturator

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against unusual input that ends a process, or takes more memory or descriptors than it
// has. Each is sent on 40 connections, eight times on each.
func TestUnusualInput(t *testing.T) {
	chunked := func(body string) string {
		return "POST /held/a HTTP/1.1\r\nHost: a.example\r\nVerbenastand-Service: held\r\nTransfer-Encoding: chunked\r\n\r\n" + body
	}
	trailers := "1\r\nx\r\n0\r\n"
	for _, name := range names(4000) {
		trailers += name + ":\r\n"
	}
	cases := []struct{ name, message string }{
		{"empty names", request("/held/a", lines(headerBytes, func(int) string { return ":\n" }))},
		{"names of one byte", request("/held/a", lines(headerBytes, func(i int) string { return digits[i%len(digits):][:1] + ":\n" }))},
		{"repeated Host", request("/held/a", lines(headerBytes, func(int) string { return "Host: a.example\r\n" }))},
		{"repeated Request-Id", request("/held/a", lines(headerBytes, func(i int) string { return fmt.Sprintf("Request-Id: %d\r\n", i) }))},
		{"folded lines", request("/held/a", "a: b\r\n"+lines(headerBytes, func(int) string { return " \n" }))},
		{"lists of Connection", request("/held/a", "Connection: "+strings.Repeat("a,", headerBytes/2-100)+"\r\n")},
		{"4,000 trailers", chunked(trailers + "\r\n")},
		{"chunk extensions", chunked(strings.Repeat("1;"+strings.Repeat("e=f;", 500)+"\r\nx\r\n", 50) + "0\r\n\r\n")},
		{"tiny chunks", chunked(strings.Repeat("1\r\nx\r\n", 20_000) + "0\r\n\r\n")},
		{"a line without end", "GET /" + strings.Repeat("a", 64<<10)},
		{"names without a value", request("/held/a", lines(headerBytes, func(int) string { return "a\n" }))},
		{"empty lines before a request", strings.Repeat("\r\n", 8<<10)},
	}
	for _, kind := range kinds {
		for _, tc := range cases {
			t.Run(kind.name+"/"+tc.name, func(t *testing.T) {
				h := kind.start(t)
				for _, address := range append([]string{h.address}, h.others...) {
					h.saturate(address, clientSet{addresses: 4, connections: 40, times: 8, message: tc.message}, func() {})
				}
				h.requireResponse("/read/after")
				h.check()
			})
		}
	}
}

// Guards against limits that refuse a single request of legal size without memory pressure.
func TestALegalRequestIsServed(t *testing.T) {
	for _, kind := range kinds {
		for i, header := range []string{lines(headerBytes, sameName), lines(headerBytes, differentNames())} {
			t.Run(fmt.Sprint(kind.name, i), func(t *testing.T) {
				h := kind.start(t)
				conn, err := dialerFrom("127.0.0.2").Dial("tcp", h.address)
				require.NoError(t, err)
				_ = conn.SetDeadline(time.Now().Add(startTime))
				_, err = io.WriteString(conn, request("/read/a", header))
				require.NoError(t, err)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.NoError(t, response.Body.Close())
				require.NoError(t, conn.Close())
				h.check()
			})
		}
	}
}

// Guards against hosts that hold more than their memory for callers that leave long responses
// unread.
func TestUnreadResponses(t *testing.T) {
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			h := kind.start(t)
			c := clientSet{addresses: 4, connections: 100, times: 4, message: request("/long/a", ""), unread: true}
			h.saturate(h.address, c, func() { h.requireResponse("/read/during") })
			h.requireResponse("/read/after")
			h.check()
		})
	}
}

// kinds are the kinds of hosts.
var kinds = []struct {
	name  string
	start func(*testing.T) *host
}{{"gateway", newGateway}, {"entry host", newEntryHost}}
