package dispatcher

import (
	"context"
	"net/http"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/bounder"
)

// noMemoryRetryAfter is the Retry-After delay of requests for which no memory is left. It
// becomes free as the pending requests of the same network address end.
const noMemoryRetryAfter = time.Second

// RefuseForMemory responds to a request of a caller for which no memory is left. Of one with an
// idempotency key it isn't known whether an earlier copy has run: its connection is closed
// without a response.
func (d *Dispatcher) RefuseForMemory(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(verbenastand.HeaderIdempotencyKey) != "" {
		panic(http.ErrAbortHandler)
	}
	if r.ProtoMajor == 1 {
		// What is left of the body must not be taken for the next request.
		w.Header().Set("Connection", "close")
	}
	refusal := verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonOverload, nil)
	d.writeError(w, serviceOf(r), refusal.WithRetryAfter(noMemoryRetryAfter))
}

// takeMemory takes memory for the body of a request, which is buffered up to a limit, and
// reports whether there is enough. release returns it.
func (d *Dispatcher) takeMemory(ctx context.Context, req *proxiedRequest) (release func(), ok bool) {
	none := func() {}
	size := req.bufferedSize()
	var memory bounder.Source
	if d.config.Memory != nil && size > 0 {
		memory = d.config.Memory(ctx)
	}
	if memory == nil {
		return none, true
	}
	// Reading a body of unknown length doubles its buffer.
	if req.request.ContentLength < 0 {
		size *= 2
	}
	if !memory.Take(size) {
		return none, false
	}
	return func() { memory.Return(size) }, true
}
