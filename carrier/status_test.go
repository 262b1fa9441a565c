package carrier

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Guards against a caller that receives bytes as a response, or as a guarantee that its request was not
// executed, because their status code has three digits, or the parser accepts blanks in names.
func TestResponsesThatAreNone(t *testing.T) {
	for _, status := range []string{"000 X", "099 X", "+20 X", "600 X", "999 X", "200 OK\r\nOdd Name: x", "200 OK\r\nContent-Length : 2", "200 OK\r\nA: b\r\n Odd-Name: x"} {
		for _, field := range []string{"X-Signature: signed\r\n", "X-Not-Run: 1\r\n"} {
			invalid := replyRaw("HTTP/1.1 " + status + "\r\nX-Id: ID\r\n" + field + "Content-Length: 4\r\n\r\nbody")
			withHarness(t, atMostOnce, []*backend{{serve: invalid}, {serve: invalid}}, func(h *harness) {
				response, _ := h.call("GET", "/x/1", "")
				require.NotNil(t, response, status)
				require.Equal(t, http.StatusBadGateway, response.StatusCode, status)
				require.Equal(t, verbenastand.MayHaveRun.String(), response.Header.Get(verbenastand.HeaderVerdict))
				require.Len(t, h.requests(), 1)
			})
			withHarness(t, nil, []*backend{{serve: invalid}, {serve: reply(delay)}}, func(h *harness) {
				for range 10 {
					response, body := h.call("GET", "/x/1", "")
					require.NotNil(t, response, status)
					require.Equal(t, http.StatusOK, response.StatusCode, status)
					require.Equal(t, "body", body)
					time.Sleep(time.Second)
				}
			})
		}
	}
}
