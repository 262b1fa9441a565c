// Package explainer reads the structured log lines of one or more hosts. It prints
// the timeline of a request, and counts failed requests by cause over time.
package explainer

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// maxLineBytes bounds a log line; reading fails at a longer one.
	maxLineBytes = 1 << 20
	// maxClockSkew is how far the clocks of hosts whose lines are merged may differ.
	maxClockSkew = 100 * time.Millisecond
)

// Line is one log line.
type Line struct {
	At     time.Time
	Event  string
	Fields map[string]any
}

// Text returns a field as text, empty if it is absent.
func (l Line) Text(name string) string {
	v, ok := l.Fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// Log holds the parsed lines.
type Log struct {
	lines     []Line
	malformed int
}

// Read adds the lines of a reader. It ignores text before the first brace of a
// line, which log collectors add, and counts malformed lines.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 1<<16), maxLineBytes)
	for scanner.Scan() {
		l.add(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("explainer: %w", err)
	}
	return nil
}

func (l *Log) add(text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return
	}
	var record struct {
		Fields    map[string]any `json:"fields"`
		Timestamp time.Time      `json:"timestamp"`
		Message   string         `json:"message"`
	}
	if err := json.Unmarshal(text[start:], &record); err != nil || record.Message == "" {
		l.malformed++
		return
	}
	l.lines = append(l.lines, Line{At: record.Timestamp, Event: record.Message, Fields: record.Fields})
}

// Malformed returns the number of malformed lines.
func (l *Log) Malformed() int { return l.malformed }

// Lines returns the number of parsed lines.
func (l *Log) Lines() int { return len(l.lines) }

// Timeline returns the log lines of a request in order: those with its ID, and
// changes of its servers, from shortly before its first line until its last one.
func (l *Log) Timeline(id string) []Line {
	var timeline []Line
	servers := make(map[string]bool)
	for _, line := range l.lines {
		if line.Text("id") != id {
			continue
		}
		timeline = append(timeline, line)
		if s := line.Text("server"); s != "" {
			servers[s] = true
		}
	}
	if len(timeline) == 0 {
		return nil
	}
	slices.SortStableFunc(timeline, byTime)
	from, until := timeline[0].At.Add(-serverChangeWindow), timeline[len(timeline)-1].At.Add(maxClockSkew)
	for _, line := range l.lines {
		if line.Text("id") == "" && concernsAny(line, servers) && line.At.After(from) && line.At.Before(until) {
			timeline = append(timeline, line)
		}
	}
	slices.SortStableFunc(timeline, byTime)
	return timeline
}

// serverChangeWindow is the time before a request from which changes of its servers
// are included.
const serverChangeWindow = 5 * time.Second

func byTime(a, b Line) int { return a.At.Compare(b.At) }

func concernsAny(line Line, servers map[string]bool) bool {
	if servers[line.Text("server")] {
		return true
	}
	_, name, found := strings.Cut(line.Text("key"), "/")
	return found && servers[name]
}

// WriteTimeline prints the timeline of a request, and reports whether there is one.
func (l *Log) WriteTimeline(w io.Writer, id string) bool {
	timeline := l.Timeline(id)
	for _, line := range timeline {
		_, _ = fmt.Fprintf(w, "%s %-16s %s\n", line.At.UTC().Format("15:04:05.000"), line.Text("host"), formatLine(line))
	}
	return len(timeline) > 0
}

// omittedFields are not printed among the fields of a line: the request ID is known,
// and the host and the error are printed separately.
var omittedFields = []string{"host", "id", "error"}

// formatLine formats a line: its event, its fields by name, and its error last.
func formatLine(line Line) string {
	names := make([]string, 0, len(line.Fields))
	for n := range line.Fields {
		if !slices.Contains(omittedFields, n) && line.Text(n) != "" {
			names = append(names, n)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(fieldRank(a), fieldRank(b)), cmp.Compare(a, b))
	})
	parts := []string{line.Event}
	for _, n := range names {
		parts = append(parts, n+"="+line.Text(n))
	}
	if e := line.Text("error"); e != "" {
		parts = append(parts, "error: "+strings.ReplaceAll(e, "\n", "; "))
	}
	return strings.Join(parts, " ")
}

// leadingFields are the fields that are printed first.
var leadingFields = []string{"status", "verdict", "reason", "attempt", "server", "result", "change", "service", "route", "version"}

func fieldRank(name string) int {
	if i := slices.Index(leadingFields, name); i >= 0 {
		return i
	}
	return len(leadingFields)
}
