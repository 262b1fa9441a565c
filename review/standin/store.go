package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	updated  chan struct{}
}

type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"createdRev,omitempty"`
	Deleted    bool   `json:"deleted,omitempty"`
}

// pageSize is the number of items on a page, about 500 as the pages say.
const pageSize = 500

func newStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 1, items: make(map[string]item), updated: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /verbenastand/kv-range", s.serveRange)
	mux.HandleFunc("GET /verbenastand/kv-watch", s.serveWatch)
	s.server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		w.Header().Set("Content-Type", "application/json")
		time.Sleep(4 * time.Millisecond)
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: data, Revision: s.revision, CreatedRev: s.revision}
	if known, found := s.items[key]; found {
		i.CreatedRev = known.CreatedRev
	}
	s.items[key] = i
	s.events = append(s.events, i)
	close(s.updated)
	s.updated = make(chan struct{})
	return nil
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if key > r.URL.Query().Get("after") && strings.HasPrefix(key, r.URL.Query().Get("pathPrefix")) {
			items = append(items, s.items[key])
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"items": items[:min(pageSize, len(items))], "truncated": len(items) > pageSize, "currentRev": s.revision,
	})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after {
				events = append(events, e)
			}
		}
		response := map[string]any{"events": events, "currentRev": s.revision}
		updated := s.updated
		s.mu.Unlock()
		if len(events) > 0 {
			_ = json.NewEncoder(w).Encode(response)
			return
		}
		select {
		case <-updated:
		case <-timer.C:
			_ = json.NewEncoder(w).Encode(response)
			return
		case <-r.Context().Done():
			return
		}
	}
}
