// Package prefetcher reads responses ahead of callers that read slowly.
package prefetcher

import (
	"errors"
	"io"
	"sync"

	"github.com/verbenastand/verbenastand/internal/bounder"
)

const (
	// chunkSize is the amount of memory that is taken at once for a response.
	chunkSize = 16 << 10
	// minChunkSize is the size of the two buffers of a response for which there is no memory.
	// The charge for a request covers them.
	minChunkSize = 4 << 10
)

// errNotNeeded means that nobody needs the rest of a response.
var errNotNeeded = errors.New("prefetcher: the rest of the response is not needed")

// Config is the configuration of a Reader.
type Config struct {
	// Body is read to its end.
	Body io.Reader
	// Memory provides the memory for what is read ahead; if nil, nothing is.
	Memory bounder.Source
	// Charged makes Memory provide the first two buffers, too. Without memory for them they
	// are small.
	Charged bool
	// Finish is called once nothing more is read from Body, with nil at its end.
	Finish func(error)
	// Interrupt makes reading Body end. It is called at most once, before Finish is.
	Interrupt func()
	// ReportPanic reports a panic of Body or Finish and returns it as an error.
	ReportPanic func(value any) error
}

// Reader reads the body of a response from its server as fast as the server sends, and holds
// what the caller hasn't read yet, as far as memory allows: servers abort responses that stay
// unread, and their slots are held meanwhile. Two chunks are held in any case.
type Reader struct {
	config Config
	// size is that of the first buffers, charged what was taken for them.
	size    int
	charged int64
	done    chan struct{}

	mu      sync.Mutex
	changed *sync.Cond
	chunks  []chunk
	// spare is the buffer of the last chunk for which no memory was taken, nil while one is in use. It is
	// used again: otherwise a long response leaves one for the garbage collector every 16 KB.
	spare []byte
	// taken is the number of bytes of the first chunk that Next has returned.
	taken int
	// err is the error behind the last chunk, io.EOF at the end of the response.
	err error
	// ended is set once nothing more is read from the server, and closed once the caller
	// doesn't need more.
	ended, closed bool
}

// chunk is a part of a response. What has been delivered is cut off its data, which begins as a part of
// the buffer.
type chunk struct {
	data, buffer []byte
	charged      bool
}

// NewReader starts to read. The reader must be closed.
func NewReader(c Config) *Reader {
	r := &Reader{config: c, size: chunkSize, done: make(chan struct{})}
	r.changed = sync.NewCond(&r.mu)
	if c.Charged {
		if c.Memory != nil && c.Memory.Take(2*chunkSize) {
			r.charged = 2 * chunkSize
		} else {
			r.size = minChunkSize
		}
	}
	go r.run()
	return r
}

// run reads until the response ends.
func (r *Reader) run() {
	defer close(r.done)
	defer r.containPanic()
	buffer := make([]byte, r.size)
	for {
		n, err := r.config.Body.Read(buffer)
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
func (r *Reader) add(part []byte) bool {
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
		charged := last >= 0 && r.config.Memory != nil && r.config.Memory.Take(chunkSize)
		if last >= 0 && !charged {
			// The caller gets everything that is held before more is read.
			r.changed.Wait()
			continue
		}
		buffer := r.newBufferLocked(charged)
		r.chunks = append(r.chunks, chunk{data: buffer[:0], buffer: buffer, charged: charged})
	}
	r.changed.Broadcast()
	return !r.closed
}

func (r *Reader) newBufferLocked(charged bool) []byte {
	if charged {
		return make([]byte, chunkSize)
	}
	buffer := r.spare
	r.spare = nil
	if buffer == nil {
		buffer = make([]byte, r.size)
	}
	return buffer
}

// end ends reading the body. Its connection is usable again only if nobody interrupts it any
// more.
func (r *Reader) end(err error) {
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
	r.config.Finish(err)
}

// containPanic ends the response instead of the process.
func (r *Reader) containPanic() {
	value := recover()
	if value == nil {
		return
	}
	err := r.config.ReportPanic(value)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.err = true, err
	r.changed.Broadcast()
	r.config.Interrupt()
}

// Next returns the next part of the body, which is valid until the next call, or the error with
// which the body has ended, io.EOF at its end.
func (r *Reader) Next() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discardLocked(r.taken)
	for {
		if len(r.chunks) > 0 && len(r.chunks[0].data) > 0 {
			part := r.chunks[0].data
			r.taken = len(part)
			return part, nil
		}
		if r.ended {
			return nil, r.err
		}
		r.changed.Wait()
	}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	part, err := r.Next()
	if err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	n := copy(p, part)
	r.discardLocked(n)
	return n, nil
}

// discardLocked drops what was delivered of the first chunk.
func (r *Reader) discardLocked(n int) {
	r.taken = 0
	if n == 0 || len(r.chunks) == 0 {
		return
	}
	r.chunks[0].data = r.chunks[0].data[n:]
	if len(r.chunks[0].data) == 0 {
		r.dropFirstLocked()
	}
}

func (r *Reader) dropFirstLocked() {
	if r.chunks[0].charged {
		r.config.Memory.Return(chunkSize)
	} else {
		r.spare = r.chunks[0].buffer
	}
	r.chunks[0] = chunk{}
	r.chunks = r.chunks[1:]
	r.changed.Broadcast()
}

// Close ends reading, for example because the caller has disconnected.
func (r *Reader) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed, r.taken = true, 0
	for len(r.chunks) > 0 {
		r.dropFirstLocked()
	}
	if r.charged > 0 {
		r.config.Memory.Return(r.charged)
	}
	r.changed.Broadcast()
	if !r.ended {
		r.config.Interrupt()
	}
}

// Wait waits until nothing is read any more and Finish has returned.
func (r *Reader) Wait() { <-r.done }
