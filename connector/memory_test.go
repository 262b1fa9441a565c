package connector

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/bounder"
)

// Guards against bodies that are charged as headers, and headers behind interim responses that
// are not charged, wherever the parts end that are read.
func TestOnlyHeadersAreCharged(t *testing.T) {
	lines := strings.Repeat("a:\r\n", 2000)
	cases := []struct {
		name, header, body string
	}{
		{"a body of line ends", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("\n", 10_000)},
		{"many lines", "HTTP/1.1 200 OK\r\n" + lines + "\r\n", "\n\n"},
		{"lines without CR", "HTTP/1.1 200 OK\n" + strings.ReplaceAll(lines, "\r", "") + "\n", "\n\n"},
		{"interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n" + lines + "\r\nHTTP/1.1 200 OK\r\n" + lines + "\r\n", "\n\n"},
	}
	for _, tc := range cases {
		for _, step := range []int{1, 7, 1 << 20} {
			t.Run(fmt.Sprint(tc.name, step), func(t *testing.T) {
				budget := bounder.NewBudget(8 << 20)
				h := head{memory: bounder.NewHead(budget)}
				text := []byte(tc.header + tc.body)
				for len(text) > 0 {
					n := min(step, len(text))
					require.True(t, h.charge(text[:n]))
					text = text[n:]
				}
				require.True(t, h.lines.Ended())
				require.Equal(t, max(0, bounder.HeadCost([]byte(tc.header))-64<<10), 8<<20-budget.Left())
			})
		}
	}
}

// Guards against headers of responses that take memory that is not counted, requests that are
// sent twice for lack of it, and a server that is taken for one that failed.
func TestHeadersOfResponsesAreCharged(t *testing.T) {
	cases := []struct {
		name   string
		lines  int
		memory int64
		served bool
	}{
		{"ordinary, no memory", 30, 0, true},
		{"many lines", 3000, 4 << 20, true},
		{"many lines, too little memory", 3000, 100 << 10, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var requests atomic.Int64
			address := listen(t, func(conn net.Conn) {
				for reader := bufio.NewReader(conn); ; {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					header := ""
					if requests.Add(1) > 1 {
						header = strings.Repeat("a:\r\n", tc.lines)
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+header+"\r\nok")
				}
			})
			failures := 0
			c := NewConnector(Config{MaxConnections: 1, OnResult: func(_ verbenastand.Server, _ bool, err error) {
				if err != nil {
					failures++
				}
			}})
			defer c.Close()
			server := verbenastand.NewServer(verbenastand.ServerConfig{Address: address})
			budget := bounder.NewBudget(tc.memory)
			account := bounder.NewAccount(budget)
			// The second request uses a connection again: the transport sends some of these
			// again by itself.
			for i := range 2 {
				r, err := http.NewRequestWithContext(bounder.NewContext(t.Context(), account), http.MethodGet, "/", http.NoBody)
				require.NoError(t, err)
				response, err := c.RoundTrip(server, r)
				if i == 1 && !tc.served {
					require.ErrorIs(t, err, ErrNoMemory)
					require.NotErrorIs(t, err, ErrConnectionLost)
					require.NotErrorIs(t, err, ErrMalformedResponse)
					require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
					continue
				}
				require.NoError(t, err)
				body, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				require.Equal(t, "ok", string(body))
				require.NoError(t, response.Body.Close())
			}
			require.EqualValues(t, 2, requests.Load())
			require.Zero(t, failures)
			if tc.lines > 1000 && tc.served {
				require.Greater(t, tc.memory-budget.Left(), int64(tc.lines*256-64<<10))
			}
			account.Close()
			require.Equal(t, tc.memory, budget.Left())
		})
	}
}
