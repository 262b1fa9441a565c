package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a requester got.
type answer struct {
	id     string
	sent   time.Time
	took   time.Duration
	status int
	header http.Header
	body   []byte
	err    error
}

// request is one request of a requester.
type request struct {
	id, method, host, path string
	deadline               time.Duration
	body                   []byte
	// from is the requester's address, patience how long it waits.
	from     string
	patience time.Duration
}

// send sends a request over a new connection and waits for its answer.
func send(r *record, address string, q request) (a answer) {
	a = answer{id: q.id, sent: time.Now()}
	r.printf("send     %s %s %s to %s from %s, time limit %v", q.id, q.method, q.path, address, q.from, q.deadline)
	defer func() {
		a.took = time.Since(a.sent)
		r.printf("answer   %s after %.3f s: status %d, error %v", q.id, a.took.Seconds(), a.status, a.err)
	}()
	dialer := net.Dialer{Timeout: time.Second}
	if q.from != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(q.from)}
	}
	c, err := dialer.Dial("tcp", address)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(q.patience))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
	if q.body != nil {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	if _, err := io.WriteString(c, head+"\r\n"+string(q.body)); err != nil {
		a.err = err
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(response.Body)
	return a
}
