package emulator

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/merger"
)

// PlatformMode is the simulated state of the platform.
type PlatformMode string

const (
	// PlatformUp responds normally.
	PlatformUp PlatformMode = "up"
	// PlatformDown responds to every read with an error.
	PlatformDown PlatformMode = "down"
	// PlatformStale returns only the tickets up to a fixed number.
	PlatformStale PlatformMode = "stale"
	// PlatformStalled accepts reads of tickets and never responds.
	PlatformStalled PlatformMode = "stalled"
)

// HostEntry is a host in the platform's host list.
type HostEntry struct {
	Host        string `json:"host"`
	Zone        string `json:"zone"`
	PeerAddress string `json:"peerAddress"`
	Leaving     bool   `json:"leaving"`
}

// Platform emulates the configuration service and the host list.
type Platform struct {
	mu      sync.Mutex
	tickets []json.RawMessage
	numbers []verbenastand.TicketNumber
	hosts   []HostEntry
	mode    PlatformMode
	staleAt verbenastand.TicketNumber
	changed chan struct{}
	reads   int
}

// NewPlatform returns a platform without tickets.
func NewPlatform() *Platform {
	return &Platform{mode: PlatformUp, changed: make(chan struct{}), hosts: []HostEntry{}}
}

// Handler returns the HTTP handler of the platform. Paths below /emulator/ control
// it in tests.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/tickets", p.serveTickets)
	mux.HandleFunc("GET /v1/hosts", p.serveHosts)
	mux.HandleFunc("POST /emulator/ticket", p.handleTicket)
	mux.HandleFunc("POST /emulator/hosts", p.handleHosts)
	mux.HandleFunc("POST /emulator/mode", p.handleMode)
	mux.HandleFunc("GET /emulator/reads", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		_, _ = fmt.Fprintln(w, p.reads)
	})
	return mux
}

// SetMode sets the simulated state. StaleAt is the highest ticket number that a
// stale platform returns.
func (p *Platform) SetMode(mode PlatformMode, staleAt verbenastand.TicketNumber) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.staleAt = mode, staleAt
	p.notifyLocked()
}

func (p *Platform) notifyLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Publish adds a ticket without validating it.
func (p *Platform) Publish(number verbenastand.TicketNumber, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.numbers = append(p.numbers, number)
	p.tickets = append(p.tickets, data)
	p.notifyLocked()
}

func (p *Platform) handleTicket(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, merger.MaxTicketBytes))
	var header struct {
		Number verbenastand.TicketNumber `json:"number"`
	}
	if err == nil {
		err = json.Unmarshal(data, &header)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Publish(header.Number, data)
}

func (p *Platform) handleHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []HostEntry
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = hosts
}

func (p *Platform) handleMode(_ http.ResponseWriter, r *http.Request) {
	at, _ := strconv.ParseUint(r.URL.Query().Get("at"), 10, 64)
	p.SetMode(PlatformMode(r.URL.Query().Get("mode")), verbenastand.TicketNumber(at))
}

// read returns the tickets with a number above after, the mode, and a channel that is
// closed when either may have changed.
func (p *Platform) read(after verbenastand.TicketNumber) ([]json.RawMessage, PlatformMode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	tickets := []json.RawMessage{}
	for i, n := range p.numbers {
		if n > after && (p.mode != PlatformStale || n <= p.staleAt) {
			tickets = append(tickets, p.tickets[i])
		}
	}
	return tickets, p.mode, p.changed
}

func (p *Platform) serveTickets(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		tickets, mode, changed := p.read(verbenastand.TicketNumber(after))
		switch mode {
		case PlatformDown:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case PlatformStalled:
			<-r.Context().Done()
			return
		}
		data, etag := encodeWithETag(tickets)
		if r.Header.Get("If-None-Match") != etag || waitMs == 0 {
			writeWithETag(w, r, data, etag)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeWithETag(w, r, data, etag)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	mode, hosts := p.mode, p.hosts
	p.mu.Unlock()
	if mode == PlatformDown {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	data, etag := encodeWithETag(hosts)
	writeWithETag(w, r, data, etag)
}

// encodeWithETag returns a value as JSON and its ETag.
func encodeWithETag(v any) (data []byte, etag string) {
	data, err := json.Marshal(v)
	if err != nil {
		data = []byte("null")
	}
	h := fnv.New64a()
	_, _ = h.Write(data)
	return data, fmt.Sprintf("%q", strconv.FormatUint(h.Sum64(), 36))
}

// writeWithETag writes a response, or status 304 if the client has the same one.
func writeWithETag(w http.ResponseWriter, r *http.Request, data []byte, etag string) {
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
