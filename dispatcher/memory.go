package dispatcher

import (
	"context"
	"errors"
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

// openAccount opens the account of a request and takes memory for its body: what is buffered, or
// the buffer through which it is sent. It reports whether there is enough. The account is nil if
// memory isn't bounded.
func (d *Dispatcher) openAccount(ctx context.Context, req *proxiedRequest) (account *bounder.Account, ok bool) {
	if d.config.Memory == nil {
		return nil, true
	}
	memory := d.config.Memory(ctx)
	if memory == nil {
		return nil, true
	}
	size := req.bufferedSize()
	switch {
	case size > 0 && req.request.ContentLength < 0:
		// Reading a body of unknown length doubles its buffer.
		size *= 2
	case size == 0 && req.hasBody():
		size = streamBufferSize
	}
	account = bounder.NewAccount(memory)
	if !account.Take(size) {
		account.Close()
		return nil, false
	}
	return account, true
}

// budget returns what provides the memory for the response to a request.
func (req *proxiedRequest) budget() bounder.Source {
	if req.memory == nil {
		return unbounded
	}
	return req.memory
}

// unbounded is a source that is never exhausted.
var unbounded bounder.Source = bounder.Sources(nil)

// responseLength returns the length of the body of a response, negative if it is unknown.
func (req *proxiedRequest) responseLength(r *http.Response) int64 {
	if req.request.Method == http.MethodHead {
		return 0
	}
	return r.ContentLength
}

// errNoMemory means that there was no memory for the header of a response of another host.
var errNoMemory = errors.New("dispatcher: no memory for the header of the response")

// chargeHeader charges the header of a response that was parsed, and reports whether there is
// memory for it. The account of the request returns it.
func chargeHeader(ctx context.Context, h http.Header) bool {
	source := bounder.FromContext(ctx)
	if source == nil {
		return true
	}
	head := bounder.NewHead(source)
	return head.ChargeCost(bounder.HeaderCost(h))
}
