package reader

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastand/verbenastand/internal/fake"
)

// Guards against lists that are read from an invalid response of the platform.
func TestInvalidResponses(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\n", "HTTP/1.1 999 OK\r\n", "HTTP/1.1 200 OK\r\nOdd Name: x\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n",
		"HTTP/1.1 200 OK\r\nOdd\x01Name: x\r\n", "HTTP/1.1 200 OK\r\nOdd-Name\t: x\r\n",
	} {
		_, err := NewReader(Config{URL: "http://" + fake.RespondOnce(t, head+"\r\n[]")}).Hosts(t.Context())
		require.Error(t, err, "%q", head)
	}
	_, err := NewReader(Config{URL: "http://" + fake.RespondOnce(t, "HTTP/1.1 200 OK\r\n\r\n[]")}).Hosts(t.Context())
	require.NoError(t, err)
}
