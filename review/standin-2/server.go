package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat  = 1500 * time.Millisecond
	queueSlots = 24
)

// server is a stand-in of an upstream. It runs a few requests at once, queues some more, and
// rejects the others.
type server struct {
	record            *record
	store             *store
	id, service, zone string
	address           string
	slots             int
	// work returns how long a request takes.
	work func(*http.Request) time.Duration
	// answer writes the answer to a request that has run; nil for a short one.
	answer func(conn net.Conn, r *http.Request, head string) error

	mu               sync.Mutex
	listener         net.Listener
	conns            map[net.Conn]struct{}
	running, waiting int
	free             chan struct{}
	sequence         int
	born             int64
	down             bool
	// runs counts the runs of each request, and answered is when its whole answer was sent.
	runs     map[string]int
	answered map[string]time.Time
}

// start listens and registers the server, and renews the registration.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.address, s.listener, s.down = l.Addr().String(), l, false
	s.conns, s.running, s.waiting = make(map[net.Conn]struct{}), 0, 0
	s.free = make(chan struct{}, s.slots)
	s.born, s.sequence = time.Now().UnixMilli(), 0
	born := s.born
	if s.runs == nil {
		s.runs, s.answered = make(map[string]int), make(map[string]time.Time)
	}
	s.mu.Unlock()
	s.register()
	go func() {
		for range time.Tick(heartbeat) {
			s.mu.Lock()
			ended := s.down || s.born != born
			s.mu.Unlock()
			if ended {
				return
			}
			s.register()
		}
	}()
	go s.accept(l)
	return nil
}

func (s *server) register() {
	s.mu.Lock()
	s.sequence++
	entry := map[string]any{
		"address": s.address, "born": s.born,
		"information": map[string]any{"service": s.service, "zone": s.zone, "version": "v1", "capacitySlots": s.slots},
		"status":      map[string]any{"state": "ready", "sequenceNumber": s.sequence, "warmupRemainingMs": 0},
	}
	s.mu.Unlock()
	s.store.put("servers/"+s.id, entry)
}

// crash ends the server as the kill of its process does: its connections are reset, and new ones
// refused. Its entry expires after three heartbeat intervals.
func (s *server) crash() {
	s.mu.Lock()
	s.down = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	s.mu.Unlock()
	s.record.printf("server %s crashes", s.id)
	time.AfterFunc(3*heartbeat, func() {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			s.store.remove("servers/" + s.id)
		}
	})
}

func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(c)
	}
}

// ran reports whether the server has begun to run a request.
func (s *server) ran(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id] > 0
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("Server-Load: %d,%d,%d,100\r\n", s.running, s.waiting, s.slots)
}

// message is a request with its body.
type message struct {
	request *http.Request
	body    []byte
}

func (s *server) serve(c net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	messages := make(chan message)
	defer func() {
		cancel()
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	go func() {
		// The end of the connection cancels what runs.
		defer cancel()
		defer close(messages)
		reader := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			select {
			case messages <- message{r, body}:
			case <-ctx.Done():
				return
			}
		}
	}()
	for m := range messages {
		if err := s.handle(ctx, c, m); err != nil {
			return
		}
	}
}

func (s *server) handle(ctx context.Context, c net.Conn, m message) error {
	r := m.request
	id := r.Header.Get("Request-Id")
	instance := "Instance-Id: " + s.id + "\r\n"
	if r.URL.Path == "/health" {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+instance+s.load()+"Content-Length: 0\r\n\r\n")
		return err
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: "+id+"\r\n"+instance+"Content-Length: 0\r\n\r\n")
		return err
	}
	if !s.enter(ctx) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		_, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: "+id+"\r\nNot-Executed: 1\r\n"+s.load()+"Content-Length: 0\r\n\r\n")
		return err
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.record.printf("run      %s %s %s at %s", id, r.Method, r.URL.Path, s.id)
	work := s.work(r)
	deadline := work
	if ms, err := time.ParseDuration(r.Header.Get("Request-Deadline") + "ms"); err == nil {
		deadline = min(deadline, ms)
	}
	done := sleep(ctx, deadline)
	s.leave()
	if !done {
		s.record.printf("dropped  %s at %s", id, s.id)
		return ctx.Err()
	}
	status := "200 OK"
	if deadline < work {
		status = "504 Gateway Timeout"
	}
	s.record.printf("ran      %s at %s: %s", id, s.id, status)
	head := "HTTP/1.1 " + status + "\r\nRequest-Id: " + id + "\r\nResponse-Signature: " + signature(id) + "\r\n" + s.load()
	answer := s.answer
	if answer == nil {
		answer = answerShortly
	}
	if err := answer(c, r, head); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered[id] = time.Now()
	return nil
}

func answerShortly(c net.Conn, r *http.Request, head string) error {
	body := "done " + r.Header.Get("Request-Id")
	_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return err
}

// answeredAt returns when the whole answer to a request was sent, zero if it was not.
func (s *server) answeredAt(id string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered[id]
}

// enter waits for a slot, and reports whether there is one for the request.
func (s *server) enter(ctx context.Context) bool {
	s.mu.Lock()
	if s.waiting >= queueSlots {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	free := s.free
	s.mu.Unlock()
	entered := false
	select {
	case free <- struct{}{}:
		entered = true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if entered {
		s.running++
	}
	return entered
}

func (s *server) leave() {
	s.mu.Lock()
	s.running--
	free := s.free
	s.mu.Unlock()
	<-free
}

func signature(id string) string { return "sig-" + strings.ToLower(id) }

// sleep waits, and reports false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
