package main

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"
)

// record is what callers and servers have seen of each request.
type record struct {
	started time.Time
	file    io.Writer

	mu       sync.Mutex
	requests map[string]*request
}

// request is one request of a caller.
type request struct {
	id, host, method, path string
	sentAt                 time.Time
	timeLimit              time.Duration
	// answeredAt is when the answer was complete or the connection ended.
	answeredAt time.Time
	// status is zero if the connection ended without an answer.
	status int
	signed bool
	fault  string
	runs   []*serverRun
}

// serverRun is one execution of a request on a server.
type serverRun struct {
	server  string
	beganAt time.Time
	// endedAt is zero while the server is at work.
	endedAt time.Time
	result  string
}

func newRecord(file io.Writer) *record {
	return &record{started: time.Now(), file: file, requests: make(map[string]*request)}
}

// say writes a line with the time since the start to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = io.WriteString(r.file, line)
	_, _ = io.WriteString(os.Stdout, line)
}

func (r *record) sent(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.sentAt = time.Now()
	r.requests[q.id] = q
}

func (r *record) answered(q *request, status int, signed bool, fault string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.answeredAt, q.status, q.signed, q.fault = time.Now(), status, signed, fault
}

func (r *record) began(id, server string) *serverRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &serverRun{server: server, beganAt: time.Now()}
	if q := r.requests[id]; q != nil {
		q.runs = append(q.runs, run)
	}
	return run
}

func (r *record) ended(run *serverRun, result string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.endedAt, run.result = time.Now(), result
}

// sorted returns the requests in the order in which they were sent.
func (r *record) sorted() []*request {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*request
	for _, q := range r.requests {
		list = append(list, q)
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Or(a.sentAt.Compare(b.sentAt), cmp.Compare(a.id, b.id)) })
	return list
}

// since formats a time as seconds since the start of the record.
func (r *record) since(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f", t.Sub(r.started).Seconds())
}

// describe returns what callers and servers have seen of a request.
func (r *record) describe(q *request) string {
	text := fmt.Sprintf("%s %s %s to %s: sent %s", q.id, q.method, q.path, q.host, r.since(q.sentAt))
	for _, run := range q.runs {
		text += fmt.Sprintf(", run by %s from %s to %s (%s)", run.server, r.since(run.beganAt), r.since(run.endedAt), cmp.Or(run.result, "at work"))
	}
	text += fmt.Sprintf(", answered %s with %d", r.since(q.answeredAt), q.status)
	if q.signed {
		text += " signed"
	}
	if q.fault != "" {
		text += " (" + q.fault + ")"
	}
	return text
}

// writeAll writes all requests to the record.
func (r *record) writeAll() {
	for _, q := range r.sorted() {
		_, _ = io.WriteString(r.file, "         "+r.describe(q)+"\n")
	}
}
