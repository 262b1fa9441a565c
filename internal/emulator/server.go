package emulator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Events in the run log of a server.
const (
	eventRun  = "run"
	eventDone = "done"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	ID verbenastand.ServerID
	// Instance identifies this process of the server.
	Instance string
	// Mean is the mean duration of a short request. Requests below /long/ take
	// LongFactor times as long on average.
	Mean       time.Duration
	LongFactor int
	// RunLog receives a line before each request runs, and another after it has
	// run. It must survive a crash of the server.
	RunLog io.Writer
	// Exit ends the process when a request crashes the server.
	Exit func()
}

// ServerFault is a set of simulated faults.
type ServerFault struct {
	// Slow multiplies the duration of requests.
	Slow float64
	// Failing servers respond immediately with status 500.
	Failing bool
	// Draining servers announce by a response header that they accept no new
	// requests.
	Draining bool
	// Shedding servers refuse requests with the verdict notRun.
	Shedding bool
	// UnderReporting servers report no requests in flight.
	UnderReporting bool
	// Truncating servers abort responses before the body is complete.
	Truncating bool
}

// Server emulates a backend server with a fixed number of slots.
type Server struct {
	config   ServerConfig
	slots    chan struct{}
	inFlight atomic.Int64
	probes   atomic.Int64
	runs     atomic.Int64
	// maxInFlight is the maximum number of concurrent requests so far.
	maxInFlight atomic.Int64

	mu    sync.Mutex
	fault ServerFault
}

// NewServer returns a server.
func NewServer(c ServerConfig) *Server {
	if c.RunLog == nil {
		c.RunLog = io.Discard
	}
	if c.Exit == nil {
		c.Exit = func() { os.Exit(3) }
	}
	return &Server{config: c, slots: make(chan struct{}, Slots), fault: ServerFault{Slow: 1}}
}

// SetFault sets the simulated faults.
func (s *Server) SetFault(f ServerFault) {
	if f.Slow == 0 {
		f.Slow = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *Server) currentFault() ServerFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// Runs returns how many requests have run.
func (s *Server) Runs() int64 { return s.runs.Load() }

// MaxInFlight returns the maximum number of concurrent requests so far.
func (s *Server) MaxInFlight() int64 { return s.maxInFlight.Load() }

// ServeHTTP serves requests, and below /emulator/ sets faults and returns counters.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		s.serveProbe(w)
	case "/emulator/fault":
		s.handleFault(r)
	case "/emulator/figures":
		_, _ = fmt.Fprintf(w, "runs=%d probes=%d mostRunning=%d\n", s.runs.Load(), s.probes.Load(), s.maxInFlight.Load())
	default:
		s.serve(w, r)
	}
}

func (s *Server) serveProbe(w http.ResponseWriter) {
	s.probes.Add(1)
	fault := s.currentFault()
	s.setReportHeaders(w, fault)
	if fault.Failing {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

func (s *Server) handleFault(r *http.Request) {
	q := r.URL.Query()
	slow, _ := strconv.ParseFloat(q.Get("slow"), 64)
	s.SetFault(ServerFault{
		Slow: slow, Failing: q.Has("failing"), Draining: q.Has("draining"),
		Shedding: q.Has("shedding"), UnderReporting: q.Has("lying"), Truncating: q.Has("truncating"),
	})
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	n := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	for highest := s.maxInFlight.Load(); n > highest && !s.maxInFlight.CompareAndSwap(highest, n); {
		highest = s.maxInFlight.Load()
	}
	w.Header().Set(verbenastand.HeaderRequest, r.Header.Get(verbenastand.HeaderRequest))
	fault := s.currentFault()
	if fault.Shedding {
		s.setReportHeaders(w, fault)
		w.Header().Set(verbenastand.HeaderVerdict, verbenastand.NotRun.String())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	s.logEvent(r, eventRun)
	s.runs.Add(1)
	if strings.HasPrefix(r.URL.Path, "/crash") {
		s.config.Exit()
		return
	}
	if fault.Failing {
		s.setReportHeaders(w, fault)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if !s.work(r, fault) {
		return
	}
	s.logEvent(r, eventDone)
	s.respond(w, r, fault, body)
}

// logEvent writes a line to the run log: event, server, method, the key or "-", the
// request ID, and the time in Unix milliseconds.
func (s *Server) logEvent(r *http.Request, event string) {
	key := r.Header.Get(verbenastand.HeaderIdempotencyKey)
	if key == "" {
		key = noKey
	}
	line := fmt.Sprintf("%s %s %s %s %s %d\n", event, s.config.ID, r.Method, key, r.URL.Query().Get("id"), time.Now().UnixMilli())
	_, _ = io.WriteString(s.config.RunLog, line)
}

// work waits for the duration of the request. It returns false if the request was
// cancelled.
func (s *Server) work(r *http.Request, fault ServerFault) bool {
	mean := float64(s.config.Mean) * fault.Slow
	if strings.HasPrefix(r.URL.Path, "/long/") {
		mean *= float64(max(1, s.config.LongFactor))
	}
	d := time.Duration(mean * (0.5 + 0.5*rand.ExpFloat64()))
	if ms, err := strconv.Atoi(r.URL.Query().Get("workMs")); err == nil {
		d = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), d)
	defer cancel()
	<-ctx.Done()
	return r.Context().Err() == nil
}

// setReportHeaders reports the load, the server process and draining to the caller.
func (s *Server) setReportHeaders(w http.ResponseWriter, fault ServerFault) {
	load := max(0, s.inFlight.Load()-1)
	if fault.UnderReporting {
		load = 0
	}
	w.Header().Set(verbenastand.HeaderLoad, fmt.Sprintf("TEXT named_metrics.requests_in_flight=%d", load))
	w.Header().Set(verbenastand.HeaderServerInstance, s.config.Instance)
	if fault.Draining {
		w.Header().Set(verbenastand.HeaderServerDraining, "true")
	}
}

// respond writes the request ID and body, followed by padding up to the requested
// size, so that callers can check that the response is complete and belongs to their
// request.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, fault ServerFault, body []byte) {
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	prefix := fmt.Sprintf("id=%s server=%s body=%d\n", r.URL.Query().Get("id"), s.config.ID, len(body))
	size = max(size, len(prefix)+len(body))
	s.setReportHeaders(w, fault)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	w.WriteHeader(http.StatusOK)
	if fault.Truncating {
		_, _ = io.WriteString(w, prefix[:len(prefix)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, prefix)
	_, _ = w.Write(body)
	padding := bytes.Repeat([]byte{'.'}, 32<<10)
	for remaining := size - len(prefix) - len(body); remaining > 0; {
		n, err := w.Write(padding[:min(remaining, len(padding))])
		if err != nil {
			return
		}
		remaining -= n
	}
}
