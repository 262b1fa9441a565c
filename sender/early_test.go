package sender

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

func upload(length int64) *Request {
	r := request("r1")
	r.Method, r.Length, r.Stream = http.MethodPost, length, fake.Upload()
	return r
}

// Guards against a response whose connection is reset while the request is written, and that
// is delivered as a complete one (issue 58): the system reports a reset once, to the write or to the read.
func TestAnEarlyResponseThatIsResetIsIncomplete(t *testing.T) {
	for _, length := range []int64{fake.UploadBytes, -1} {
		t.Run(strconv.FormatInt(length, 10), func(t *testing.T) {
			target := Target{Server: "s1", Address: fake.Listen(t, func(conn *net.TCPConn) {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				fake.ResetEarly(conn, okHead, func() { time.Sleep(10 * time.Millisecond) })
			})}
			s := NewSender(Config{HeaderFormat: testHeaderFormat{}})
			for range 50 {
				body, err := exchange(s, target, upload(length))
				require.Error(t, err, "%q passes for the whole body", body)
				require.ErrorIs(t, err, ErrConnectionLost)
				require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
				require.Zero(t, s.Idle())
			}
		})
	}
}

// Checks that responses that are complete before the request has been sent are still delivered.
func TestEarlyResponsesOfSoundServers(t *testing.T) {
	for _, tc := range fake.EarlyResponses(okHead, t.Context().Done()) {
		for _, length := range []int64{fake.UploadBytes, -1} {
			t.Run(tc.Name+strconv.FormatInt(length, 10), func(t *testing.T) {
				t.Parallel()
				target := Target{Server: "s1", Address: fake.Listen(t, func(conn *net.TCPConn) {
					if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						tc.Respond(conn, r)
					}
				})}
				s := NewSender(Config{HeaderFormat: testHeaderFormat{}})
				for range 5 {
					body, err := exchange(s, target, upload(length))
					require.NoError(t, err)
					require.Equal(t, "body", body)
				}
			})
		}
	}
}
