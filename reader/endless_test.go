package reader

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastand/verbenastand/internal/fake"
)

// Guards against the memory of responses of the platform that don't end (issue 58).
func TestResponsesWithoutEnd(t *testing.T) {
	cases := append(slices.Clone(fake.EndlessHeaders), []fake.Endless{
		{Name: "a body without a length", Prefix: "HTTP/1.1 200 OK\r\n\r\n", Filler: "[]"},
		{Name: "a body with a length", Prefix: "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", Filler: "[]"},
		{Name: "a chunked body", Prefix: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Filler: "2\r\n[]\r\n"},
	}...)
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			address, sent, closed := tc.SendUntilClosed(t)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := NewReader(Config{URL: "http://" + address, MaxBytes: 100 << 10}).Hosts(ctx)
			require.Error(t, err)
			require.NoError(t, ctx.Err(), "only the time limit has ended it")
			<-closed
			require.Less(t, sent.Load(), int64(fake.MaxSent))
		})
	}
}

// TestTheLongestResponse: a response of just the largest length is accepted.
func TestTheLongestResponse(t *testing.T) {
	for _, head := range []string{"", "Content-Length: 100\r\n"} {
		body := "[" + strings.Repeat(" ", 98) + "]"
		_, err := NewReader(Config{URL: "http://" + fake.RespondOnce(t, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+body), MaxBytes: 100}).Hosts(t.Context())
		require.NoError(t, err)
		_, err = NewReader(Config{URL: "http://" + fake.RespondOnce(t, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+body), MaxBytes: 99}).Hosts(t.Context())
		require.ErrorIs(t, err, ErrTooLong)
	}
}
