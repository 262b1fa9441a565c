package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	rangePath = "/verbenastand/kv-range"
	watchPath = "/verbenastand/kv-watch"
	// A page of a range has at most so many items or bytes.
	pageItems = 500
	pageBytes = 1 << 20
	// history is how long the store keeps changes for watches.
	history = 20 * time.Second
)

// item is one object of the platform's store.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"createdRev,omitempty"`
	Lease      int    `json:"lease"`
	Deleted    bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []event
	// dropped is the last revision that is no longer in the history.
	dropped uint64
	changed chan struct{}
}

// event is a change with its time.
type event struct {
	item
	at time.Time
}

func startStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 1, items: make(map[string]item), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+rangePath, s.serveRange)
	mux.HandleFunc("GET "+watchPath, s.serveWatch)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	return s, nil
}

// put writes an object; its time is that of the confirmation.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.putBytes(key, data)
}

// putBytes writes an object that may be no JSON.
func (s *store) putBytes(key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: data, Revision: s.revision, CreatedRev: s.revision}
	if old, found := s.items[key]; found {
		i.CreatedRev = old.CreatedRev
	}
	s.items[key] = i
	s.publishLocked(i)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; !found {
		return
	}
	s.revision++
	delete(s.items, key)
	s.publishLocked(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) publishLocked(i item) {
	now := time.Now()
	s.events = append(s.events, event{i, now})
	for len(s.events) > 0 && now.Sub(s.events[0].at) > history {
		s.dropped = s.events[0].Revision
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	items := []item{}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, q.Get("pathPrefix")) && key > q.Get("after") {
			items = append(items, s.items[key])
		}
	}
	revision := s.revision
	s.mu.Unlock()
	page, bytes := 0, 0
	for page < min(len(items), pageItems) && (page == 0 || bytes+len(items[page].Value) <= pageBytes) {
		bytes += len(items[page].Value)
		page++
	}
	reply(w, map[string]any{"items": items[:page], "truncated": page < len(items), "currentRev": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.dropped || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("pathPrefix")) {
				events = append(events, e.item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, map[string]any{"events": events, "currentRev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
