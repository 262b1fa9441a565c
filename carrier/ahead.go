package carrier

import (
	"errors"
	"io"
	"sync"

	"github.com/verbenastand/verbenastand/internal/bounder"
)

// aheadChunk is the amount of memory that is taken at once for a response.
const aheadChunk = 16 << 10

// readAhead reads the rest of a response from its server as fast as the server sends, and holds
// what the caller hasn't read yet, as far as memory allows: servers abort responses that stay
// unread, and their slots are held meanwhile. One chunk needs no memory of the budget.
type readAhead struct {
	outcome *outcome
	memory  bounder.Source
	// reportPanic reports a panic and returns it as an error.
	reportPanic func(value any) error

	mu      sync.Mutex
	changed *sync.Cond
	chunks  []chunk
	// err is the error behind the last chunk, io.EOF at the end of the response.
	err error
	// ended is set once nothing more is read from the server, and closed once the caller
	// doesn't need more.
	ended, closed bool
}

// chunk is a part of a response. What has been delivered is cut off its data.
type chunk struct {
	data    []byte
	charged bool
}

// newReadAhead starts to read.
func newReadAhead(o *outcome, memory bounder.Source, reportPanic func(any) error) *readAhead {
	r := &readAhead{outcome: o, memory: memory, reportPanic: reportPanic}
	r.changed = sync.NewCond(&r.mu)
	go r.run()
	return r
}

// run reads until the response ends, then ends the attempt.
func (r *readAhead) run() {
	defer r.containPanic()
	buffer := make([]byte, aheadChunk)
	for {
		n, err := r.outcome.response.Body.Read(buffer)
		if n > 0 && !r.add(buffer[:n]) && err == nil {
			err = errNotNeeded
		}
		if err != nil {
			r.end(err)
			return
		}
	}
}

// add appends a part of the response once there is room, and reports whether it is needed.
func (r *readAhead) add(part []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(part) > 0 && !r.closed {
		last := len(r.chunks) - 1
		if last >= 0 && cap(r.chunks[last].data) > len(r.chunks[last].data) {
			data := r.chunks[last].data
			n := min(len(part), cap(data)-len(data))
			r.chunks[last].data = append(data, part[:n]...)
			part = part[n:]
			continue
		}
		charged := last >= 0 && r.memory.Take(aheadChunk)
		if last >= 0 && !charged {
			// The caller gets everything that is held before more is read.
			r.changed.Wait()
			continue
		}
		r.chunks = append(r.chunks, chunk{data: make([]byte, 0, aheadChunk), charged: charged})
	}
	r.changed.Broadcast()
	return !r.closed
}

// end ends the attempt. Its connection is usable again only if nobody interrupts it any more.
func (r *readAhead) end(err error) {
	r.mu.Lock()
	if r.closed {
		err = errNotNeeded
	}
	r.ended, r.err = true, err
	r.changed.Broadcast()
	r.mu.Unlock()
	if errors.Is(err, io.EOF) {
		err = nil
	}
	r.outcome.finish(err)
}

// containPanic ends the response instead of the process.
func (r *readAhead) containPanic() {
	value := recover()
	if value == nil {
		return
	}
	err := r.reportPanic(value)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.err = true, err
	r.changed.Broadcast()
	r.outcome.connection.Interrupt()
}

// Read implements io.Reader.
func (r *readAhead) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		if len(r.chunks) > 0 && len(r.chunks[0].data) > 0 {
			first := &r.chunks[0]
			n := copy(p, first.data)
			first.data = first.data[n:]
			if len(first.data) == 0 {
				r.dropFirstLocked()
			}
			return n, nil
		}
		if r.ended {
			return 0, r.err
		}
		r.changed.Wait()
	}
}

func (r *readAhead) dropFirstLocked() {
	if r.chunks[0].charged {
		r.memory.Return(aheadChunk)
	}
	r.chunks[0].data = nil
	r.chunks = r.chunks[1:]
	r.changed.Broadcast()
}

// close ends reading, for example because the caller has disconnected.
func (r *readAhead) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for len(r.chunks) > 0 {
		r.dropFirstLocked()
	}
	r.changed.Broadcast()
	if !r.ended {
		r.outcome.connection.Interrupt()
	}
}
