package explainer

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func line(second int, event string, fields string) string {
	return fmt.Sprintf(`{"fields":{"host":"h1",%s},"level":"info","timestamp":"2026-01-12T03:42:%02d.5Z","message":"%s"}`, fields, second, event)
}

var sample = strings.Join([]string{
	line(9, "refused", `"id":"r2","status":503,"reason":"overload","verdict":"notRun"`),
	"  33.5 front-1 " + line(5, "attempt", `"id":"r1","server":"s1","attempt":1,"result":"lost","error":"reset\nby peer"`),
	line(6, "attempt", `"id":"r1","server":"s2","attempt":2,"result":"succeeded"`),
	line(4, "store", `"key":"servers/s1","change":"serverRegistered"`),
	line(4, "store", `"key":"servers/s9","change":"serverRegistered"`),
	line(1, "serverBelief", `"server":"s2","change":"joined"`),
	line(7, "answered", `"id":"r1","server":"s2","status":200,"late":true`),
	line(8, "answered", `"id":"r3","server":"s2","status":504,"late":true`),
	`{"fields":{"id":"r1"},"level":"in`,
	"no log line at all",
}, "\n")

func read(t *testing.T, text string) *Log {
	var l Log
	require.NoError(t, l.Read(strings.NewReader(text)))
	return &l
}

func TestTimeline(t *testing.T) {
	l := read(t, sample)
	require.Equal(t, 1, l.Malformed())
	var out bytes.Buffer
	require.True(t, l.WriteTimeline(&out, "r1"))
	require.Equal(t, `03:42:01.500 h1               serverBelief server=s2 change=joined
03:42:04.500 h1               store change=serverRegistered key=servers/s1
03:42:05.500 h1               attempt attempt=1 server=s1 result=lost error: reset; by peer
03:42:06.500 h1               attempt attempt=2 server=s2 result=succeeded
03:42:07.500 h1               answered status=200 server=s2 late=true
`, out.String())
	require.False(t, l.WriteTimeline(&out, "unknown"))
}

func TestSummary(t *testing.T) {
	s := read(t, sample).Summary()
	var names []string
	for _, c := range s.Causes {
		names = append(names, c.Name)
		require.Equal(t, 1, c.Total)
	}
	require.Equal(t, []string{"late", "overload", "serverAnswered504"}, names)
	var table, plot bytes.Buffer
	s.Write(&table)
	require.Contains(t, table.String(), "overload")
	s.Plot(&plot)
	decoder := xml.NewDecoder(&plot)
	for {
		_, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		require.NoError(t, err)
	}
}

func TestAnEmptyLog(t *testing.T) {
	var out bytes.Buffer
	s := read(t, "").Summary()
	s.Write(&out)
	s.Plot(&out)
	require.Empty(t, s.Causes)
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(sample))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var l Log
		_ = l.Read(bytes.NewReader(data))
		s := l.Summary()
		s.Write(io.Discard)
		s.Plot(io.Discard)
		l.WriteTimeline(io.Discard, "r1")
	})
}
