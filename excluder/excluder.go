// Package excluder keeps which backend servers get no requests because of what their
// responses say: those that are leaving, until a later process of the server is registered,
// and those that have asked this host for a pause, until it ends. What is kept is bound to the
// server's process: it does not depend on the lists of servers, which may be out of date.
package excluder

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	// MaxServers is the maximum number of servers that are kept.
	MaxServers = 4096
	// leavingRetention is how long it is kept that a server is leaving after its process was
	// last registered.
	leavingRetention = 10 * time.Minute
	// leavingText is the value of the field in which a server says that it is leaving.
	leavingText = "1"
)

// key identifies a process of a server.
type key struct {
	server    verbenastand.ServerID
	startTime int64
	instance  string
}

func keyOf(p verbenastand.ServerProcess) key { return key{p.Server, p.StartTime, p.Instance} }

type exclusion struct {
	process verbenastand.ServerProcess
	leaving bool
	// registeredAt is when the process of a leaving server was last registered.
	registeredAt time.Time
	// pausedUntil is when the pause ends for which the server has asked.
	pausedUntil time.Time
}

// Response is what a response tells about the server that sent it.
type Response struct {
	Process verbenastand.ServerProcess
	Status  int
	// Leaving and RetryAfter are the values of the fields, empty if there are none.
	Leaving, RetryAfter []string
}

// Config configures an Excluder.
type Config struct {
	Clock verbenastand.Clock
	// OnChange is called after a change, or when a field could not be read.
	OnChange func(Change)
}

// Excluder holds the servers that get no requests. It implements
// verbenastand.ServerExcluder.
type Excluder struct {
	config Config
	// count lets requests skip the lock while no server is excluded.
	count atomic.Int64

	mu      sync.RWMutex
	servers map[key]*exclusion
	// malformed holds the last text of each server that could not be read.
	malformed map[key]string
}

// NewExcluder returns an excluder without servers.
func NewExcluder(c Config) *Excluder {
	if c.OnChange == nil {
		c.OnChange = func(Change) {}
	}
	return &Excluder{config: c, servers: make(map[key]*exclusion), malformed: make(map[key]string)}
}

// Observe applies what a response tells.
func (e *Excluder) Observe(r Response) {
	for _, text := range r.Leaving {
		if text != leavingText {
			e.observeMalformed(r.Process, text)
			continue
		}
		e.leave(r.Process, false)
	}
	if r.Status != http.StatusServiceUnavailable {
		return
	}
	for _, text := range r.RetryAfter {
		pause, err := verbenastand.ParseRetryAfter(text)
		if err != nil {
			e.observeMalformed(r.Process, text)
			continue
		}
		e.pause(r.Process, pause)
	}
}

// Learn records that another host knows a server to be leaving, and reports whether this
// host did not know.
func (e *Excluder) Learn(p verbenastand.ServerProcess) bool { return e.leave(p, true) }

func (e *Excluder) leave(p verbenastand.ServerProcess, learned bool) bool {
	e.mu.Lock()
	known := e.entryLocked(p)
	isNew := known != nil && !known.leaving
	if isNew {
		known.leaving, known.registeredAt = true, e.config.Clock.Now()
	}
	e.mu.Unlock()
	if isNew {
		e.config.OnChange(Change{Kind: Leaving, Process: p, Learned: learned})
	}
	return isNew
}

// pause keeps the end of the longest pause for which a server has asked.
func (e *Excluder) pause(p verbenastand.ServerProcess, length time.Duration) {
	if length <= 0 {
		return
	}
	now := e.config.Clock.Now()
	e.mu.Lock()
	known := e.entryLocked(p)
	begins := known != nil && !now.Before(known.pausedUntil)
	if until := now.Add(length); known != nil && until.After(known.pausedUntil) {
		known.pausedUntil = until
	}
	e.mu.Unlock()
	if begins {
		e.config.OnChange(Change{Kind: Paused, Process: p, Pause: length})
	}
}

func (e *Excluder) observeMalformed(p verbenastand.ServerProcess, text string) {
	e.mu.Lock()
	last, known := e.malformed[keyOf(p)]
	isNew := (!known || last != text) && len(e.malformed) < MaxServers
	if isNew {
		e.malformed[keyOf(p)] = text
	}
	e.mu.Unlock()
	if isNew {
		e.config.OnChange(Change{Kind: Malformed, Process: p, Text: text})
	}
}

// entryLocked returns the entry of a process, nil if there is no room for a new one.
func (e *Excluder) entryLocked(p verbenastand.ServerProcess) *exclusion {
	known := e.servers[keyOf(p)]
	if known == nil && len(e.servers) < MaxServers {
		known = &exclusion{process: p}
		e.servers[keyOf(p)] = known
		e.count.Store(int64(len(e.servers)))
	}
	return known
}

// Exclusion implements verbenastand.ServerExcluder.
func (e *Excluder) Exclusion(p verbenastand.ServerProcess) (verbenastand.Exclusion, bool) {
	if e.count.Load() == 0 {
		return verbenastand.Exclusion{}, false
	}
	e.mu.RLock()
	defer e.mu.RUnlock()
	known := e.servers[keyOf(p)]
	switch {
	case known == nil:
		return verbenastand.Exclusion{}, false
	case known.leaving:
		return verbenastand.Exclusion{Leaving: true}, true
	}
	wait := known.pausedUntil.Sub(e.config.Clock.Now())
	return verbenastand.Exclusion{Wait: max(0, wait)}, wait > 0
}

// LeavingServers returns the processes that are leaving.
func (e *Excluder) LeavingServers() []verbenastand.ServerProcess {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []verbenastand.ServerProcess
	for _, known := range e.servers {
		if known.leaving {
			list = append(list, known.process)
		}
	}
	return list
}

// Sweep removes pauses that have ended and leaving processes that have long not been
// registered.
func (e *Excluder) Sweep(registered func(verbenastand.ServerProcess) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock.Now()
	for k, known := range e.servers {
		if known.leaving && registered(known.process) {
			known.registeredAt = now
		}
		gone := !known.leaving || now.Sub(known.registeredAt) > leavingRetention
		if gone && !now.Before(known.pausedUntil) {
			delete(e.servers, k)
		}
	}
	e.count.Store(int64(len(e.servers)))
	clear(e.malformed)
}

// Counts returns the number of servers that are leaving, and of those that pause.
func (e *Excluder) Counts() (leaving, paused int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock.Now()
	for _, known := range e.servers {
		switch {
		case known.leaving:
			leaving++
		case now.Before(known.pausedUntil):
			paused++
		}
	}
	return leaving, paused
}
