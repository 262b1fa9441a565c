package scanner

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// scan reads a text in parts of a size.
func scan(text string, size int) (h Header, length int) {
	for part := []byte(text); len(part) > 0; part = part[min(size, len(part)):] {
		length += h.Scan(part[:min(size, len(part))])
	}
	return h, length
}

func TestHeadersAreScanned(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name, header, rest string
		malformed          bool
	}{
		{"no field", ok + "\r\n", "a b: c\r\n", false},
		{"fields", ok + "A: b\r\nC:\r\nD:e: f g\r\n\r\n", " a: b\r\n", false},
		{"lines without CR", "HTTP/1.1 200 OK\nA: b\n\n", "\n a\n", false},
		{"interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + ok + "A: b\r\n\r\n", " a", false},
		{"further blanks before the status code", "HTTP/1.1  103 Early Hints\r\n\r\nHTTP/1.1   200 OK\r\nA : b\r\n\r\n", "body", true},
		{"a blank in a name", ok + "A b: c\r\n\r\n", "body", true},
		{"a blank after a name", ok + "Content-Length : 4\r\n\r\n", "body", true},
		{"a tab after a name", ok + "Content-Length\t: 4\r\n\r\n", "body", true},
		{"a blank before a name", ok + "A: b\r\n Content-Length: 4\r\n\r\n", "body", true},
		{"a tab before a name", ok + "A: b\r\n\tContent-Length: 4\r\n\r\n", "body", true},
		{"a blank before the first name", ok + " A: b\r\n\r\n", "body", true},
		{"a control byte in a name", ok + "A\x00b: c\r\n\r\n", "body", true},
		{"a control byte before a name", ok + "\x1fA: b\r\n\r\n", "body", true},
		{"a carriage return before a name", ok + "\rA: b\r\n\r\n", "body", true},
		{"two carriage returns", ok + "\r\r\n\r\n", "body", true},
		{"no name", ok + ": b\r\n\r\n", "body", true},
		{"no colon", ok + "A\r\n\r\n", "body", true},
		{"in an interim response", "HTTP/1.1 103 Early Hints\r\nA b: c\r\n\r\n" + ok + "\r\n", "body", true},
		{"after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "A b: c\r\n\r\n", "body", true},
	}
	for _, tc := range cases {
		for _, size := range []int{1, 2, 7, 1 << 20} {
			t.Run(fmt.Sprint(tc.name, size), func(t *testing.T) {
				h, length := scan(tc.header+tc.rest, size)
				require.True(t, h.Ended())
				require.Equal(t, len(tc.header), length)
				require.Equal(t, tc.malformed, h.Malformed())
			})
		}
	}
}

// FuzzHeader compares what is scanned with what net/http parses: the header ends where it does for the parser,
// and if its lines are well-formed, so are the names that are parsed.
func FuzzHeader(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", 1)
	f.Add("HTTP/1.1  200 OK\nA b: c\n\n", 3)
	f.Add("HTTP/1.0 404\r\nA: b\r\n c\r\n \r\n\r\n", 7)
	f.Fuzz(func(t *testing.T, text string, size int) {
		h, length := scan(text, max(1, size))
		r := bufio.NewReaderSize(strings.NewReader(text), max(16, len(text)))
		response, err := http.ReadResponse(r, nil)
		if err != nil || response.StatusCode < http.StatusOK {
			return
		}
		require.True(t, h.Ended())
		require.Equal(t, len(text)-r.Buffered(), length)
		if verbenastand.CheckFields(response.Header) != nil {
			require.True(t, h.Malformed())
		}
		if !h.Malformed() {
			lines := bytes.Count([]byte(text[:length]), []byte("\n"))
			fields := 0
			for _, values := range response.Header {
				fields += len(values)
			}
			require.LessOrEqual(t, fields, lines-2)
		}
	})
}
