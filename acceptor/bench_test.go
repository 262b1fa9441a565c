package acceptor

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	verbenastand "github.com/verbenastand/verbenastand"
)

// BenchmarkRequest measures a request on a kept connection, with and without a body.
func BenchmarkRequest(b *testing.B) {
	cases := []struct{ name, sent string }{
		{"get", get("/a")},
		{"post", post("/a", "the body of a request")},
	}
	for _, bc := range cases {
		b.Run(bc.name, func(b *testing.B) {
			a := NewAcceptor(Config{Handler: HandlerFunc(echoPath), Limits: func() verbenastand.CallerLimits { return testLimits }})
			near, far := net.Pipe()
			a.start(far)
			defer a.Close()
			defer func() { _ = near.Close() }()
			reader := bufio.NewReader(near)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(near, bc.sent); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
		})
	}
}
