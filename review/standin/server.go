package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// work is the distribution of the time that requests take, as site files describe it.
type work struct {
	mean, longest          time.Duration
	spread, tail, tailTime float64
}

// of returns the time that a request takes.
func (w work) of(id string) time.Duration {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	random := rand.New(rand.NewPCG(h.Sum64(), 1))
	d := float64(w.mean) * math.Exp(w.spread*random.NormFloat64()-w.spread*w.spread/2)
	if random.Float64() < w.tail {
		d *= w.tailTime
	}
	return min(time.Duration(d), w.longest)
}

// serverConfig describes a backend server.
type serverConfig struct {
	id, service, zone, ip string
	slots, queue          int
	// tellsLoad is set if responses name the server's load. Health checks then take no slot.
	tellsLoad bool
	work      work
	// size is the size of the answers' bodies, as short as possible if zero.
	size int
	// turnsAway is the share of the requests that are turned away although there is room.
	turnsAway func() float64
	// breaks is the share of the answers that break off.
	breaks func() float64
	// copies is the share of the answers that are followed by a second copy.
	copies func() float64
	random *rand.Rand
	record *record
}

// maxConnections is the number of connections that a server accepts.
const maxConnections = 220

// dropped is the result of a run whose connection was closed.
const dropped = "dropped, the connection was closed"

// healthTime is the time that a health check takes in a slot.
const healthTime = 6 * time.Millisecond

// server is a stand-in of a backend server.
type server struct {
	serverConfig
	listener net.Listener
	started  time.Time
	slot     chan struct{}

	mu          sync.Mutex
	sequence    int
	running     int
	waiting     int
	connections map[net.Conn]bool
	answers     int
	copied      int
	broken      int
	sheds       int
}

func newServer(c serverConfig) (*server, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(c.ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &server{serverConfig: c, listener: l, started: time.Now(), slot: make(chan struct{}, c.slots), connections: make(map[net.Conn]bool)}
	go s.accept()
	return s, nil
}

// heartbeat writes the registration to the store.
func (s *server) heartbeat(to *store) error {
	s.mu.Lock()
	s.sequence++
	sequence := s.sequence
	s.mu.Unlock()
	return to.put("servers/"+s.id, map[string]any{
		"address": s.listener.Addr().String(), "born": s.started.UnixMilli(),
		"information": map[string]any{"service": s.service, "zone": s.zone, "version": "v1", "capacitySlots": s.slots},
		"status":      map[string]any{"state": "ready", "sequenceNumber": sequence, "warmupRemainingMs": 0},
	})
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		full := len(s.connections) >= maxConnections
		if !full {
			s.connections[conn] = true
		}
		s.mu.Unlock()
		if full {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			continue
		}
		go s.serve(conn)
	}
}

// serve serves one request at a time. A request whose connection is closed is dropped.
func (s *server) serve(conn net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer func() {
		cancel()
		_ = conn.Close()
		s.mu.Lock()
		delete(s.connections, conn)
		s.mu.Unlock()
	}()
	type message struct {
		request *http.Request
		body    []byte
	}
	requests := make(chan message)
	go func() {
		defer cancel()
		reader := bufio.NewReader(conn)
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
			case requests <- message{r, body}:
			case <-ctx.Done():
				return
			}
		}
	}()
	late := ""
	for {
		var m message
		select {
		case m = <-requests:
		case <-ctx.Done():
			return
		}
		if late != "" {
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			late = ""
		}
		answer := s.answer(ctx, m.request, m.body)
		if answer == "" || ctx.Err() != nil {
			return
		}
		if s.breaks != nil && m.request.Header.Get("Request-Id") != "" && s.draw(s.breaks()) {
			_, _ = io.WriteString(conn, answer[:s.position(len(answer))])
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if s.copy() {
			late = answer
		}
	}
}

// draw reports whether something with the given probability happens.
func (s *server) draw(probability float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < probability
}

// position returns where an answer breaks off.
func (s *server) position(length int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken++
	return s.random.IntN(length)
}

// copy counts an answer and reports whether a second copy of it follows.
func (s *server) copy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	copied := s.copies != nil && s.random.Float64() < s.copies()
	if copied {
		s.copied++
	}
	return copied
}

// answer returns the answer to a request, empty if its connection was closed.
func (s *server) answer(ctx context.Context, r *http.Request, body []byte) string {
	if r.URL.Path == "/health" {
		return s.health(ctx)
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		return "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + s.id + "\r\nContent-Length: 0\r\n\r\n"
	}
	id := r.Header.Get("Request-Id")
	if id == "" {
		return "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	limit, err := strconv.ParseFloat(r.Header.Get("Request-Deadline"), 64)
	if err != nil {
		return "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(limit*float64(time.Millisecond)))
	defer cancel()
	if (s.turnsAway != nil && s.draw(s.turnsAway())) || !s.acquire(ctx) {
		return s.shed(ctx)
	}
	defer s.release()
	run := s.record.began(id, s.id)
	select {
	case <-time.After(s.work.of(id)):
	case <-ctx.Done():
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		s.record.ended(run, "504")
		return s.response("504 Gateway Timeout", id, "")
	case ctx.Err() != nil:
		s.record.ended(run, dropped)
		return ""
	}
	s.record.ended(run, "200")
	return s.response("200 OK", id, pad(bodyOf(id, r.Method, r.URL.RequestURI(), string(body)), s.size))
}

// bodyOf returns the body of the answer to a request.
func bodyOf(id, method, uri, body string) string {
	return strings.Join([]string{id, method, uri, body}, " ")
}

// pad extends a body to a size.
func pad(body string, size int) string {
	return body + strings.Repeat(".", max(0, size-len(body)))
}

func (s *server) response(status, id, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\nResponse-Signature: sig.%s\r\n%sKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", status, id, id, s.load(), len(body), body)
}

// shed returns the answer to a request that was not run, in the form that the example of the
// users' wire command shows.
func (s *server) shed(ctx context.Context) string {
	if errors.Is(ctx.Err(), context.Canceled) {
		return ""
	}
	s.mu.Lock()
	s.sheds++
	s.mu.Unlock()
	return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" + s.load() + "Content-Length: 0\r\n\r\n"
}

func (s *server) health(ctx context.Context) string {
	if !s.tellsLoad {
		if !s.acquire(ctx) {
			return s.shed(ctx)
		}
		defer s.release()
		time.Sleep(healthTime)
	}
	return "HTTP/1.1 200 OK\r\nInstance-Id: " + s.id + "\r\n" + s.load() + "Content-Length: 0\r\n\r\n"
}

func (s *server) load() string {
	if !s.tellsLoad {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("Server-Load: %d,%d,%d,100\r\n", s.running, s.waiting, s.slots)
}

// acquire waits for a slot. It returns false if the queue is full or ctx ends.
func (s *server) acquire(ctx context.Context) bool {
	s.mu.Lock()
	if s.running+s.waiting >= s.slots+s.queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	acquired := false
	select {
	case s.slot <- struct{}{}:
		acquired = true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if acquired {
		s.running++
	}
	return acquired
}

func (s *server) release() {
	<-s.slot
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// counts returns how many answers were sent, copied, and were refusals of a full server.
func (s *server) counts() (answers, copied, sheds int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers, s.copied, s.sheds
}
