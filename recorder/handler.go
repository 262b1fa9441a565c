// Package recorder writes the decisions of the program as structured log lines and
// metrics. The rate of lines is limited and a separate goroutine writes them, so
// that logging never delays a request; dropped lines are counted and reported.
package recorder

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

const (
	// queueLength bounds the lines that wait to be written.
	queueLength = 1024
	// lineRate bounds the lines per second of one event; further lines are dropped.
	lineRate = 60
	// dropReportInterval is the minimum time between reports of dropped lines.
	dropReportInterval = 5 * time.Second
	// closeTimeout bounds how long the end of the process waits for the reader of its lines.
	closeTimeout = 200 * time.Millisecond
)

// Handler passes log entries to another handler from a separate goroutine. It
// implements log.Handler.
type Handler struct {
	next    log.Handler
	queue   chan *log.Entry
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.Mutex
	second int64
	counts map[string]int
}

// NewHandler returns a handler that writes until Close is called.
func NewHandler(next log.Handler) *Handler {
	h := &Handler{next: next, queue: make(chan *log.Entry, queueLength), done: make(chan struct{}), counts: make(map[string]int)}
	go h.write()
	return h
}

// HandleLog implements log.Handler. It never blocks.
func (h *Handler) HandleLog(e *log.Entry) error {
	if !h.allow(e.Message) {
		h.dropped.Add(1)
		return nil
	}
	select {
	case h.queue <- e:
	default:
		h.dropped.Add(1)
	}
	return nil
}

// Dropped returns the number of lines that were not written.
func (h *Handler) Dropped() int64 { return h.dropped.Load() }

func (h *Handler) allow(event string) bool {
	second := time.Now().Unix()
	h.mu.Lock()
	defer h.mu.Unlock()
	if second != h.second {
		h.second = second
		clear(h.counts)
	}
	h.counts[event]++
	return h.counts[event] <= lineRate
}

func (h *Handler) write() {
	defer close(h.done)
	reportedDrops := int64(0)
	nextReport := time.Now().Add(dropReportInterval)
	for e := range h.queue {
		if e.Message == closeMarker {
			return
		}
		h.pass(e)
		if now := time.Now(); now.After(nextReport) {
			nextReport = now.Add(dropReportInterval)
			if dropped := h.dropped.Load(); dropped > reportedDrops {
				h.pass(newDropEntry(e, dropped-reportedDrops))
				reportedDrops = dropped
			}
		}
	}
}

// pass writes a line. A line that can't be written, since its reader has gone, is dropped.
func (h *Handler) pass(e *log.Entry) {
	if err := h.next.HandleLog(e); err != nil {
		h.dropped.Add(1)
	}
}

const (
	closeMarker = "\x00close"
	dropEvent   = "linesLeftOut"
)

func newDropEntry(template *log.Entry, count int64) *log.Entry {
	return &log.Entry{
		Logger: template.Logger, Level: log.WarnLevel, Timestamp: time.Now(), Message: dropEvent,
		Fields: log.Fields{"count": count},
	}
}

// Close writes the queued lines and stops the handler, or gives up after closeTimeout if
// nobody reads them. Lines logged later are lost. It may be called more than once.
func (h *Handler) Close() {
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	select {
	case h.queue <- &log.Entry{Message: closeMarker}:
	case <-h.done:
		return
	case <-timeout.C:
		return
	}
	select {
	case <-h.done:
	case <-timeout.C:
	}
}
