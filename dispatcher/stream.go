package dispatcher

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/verbenastand/verbenastand/internal/prefetcher"
)

// streamBufferSize is the size of the buffer through which the body of a request is sent, and
// the most that a caller has to accept within the stall timeout.
const streamBufferSize = 32 << 10

// readAhead reads the body of a response into the memory of the request, or through two buffers if
// nothing is to be read ahead.
func (d *Dispatcher) readAhead(req *proxiedRequest, c prefetcher.Config) *prefetcher.Reader {
	if d.config.ReadAhead {
		c.Memory, c.Charged = req.memory, req.memory != nil
	}
	c.ReportPanic = func(value any) error { return fmt.Errorf("dispatcher: panic while a response was read: %v", value) }
	return prefetcher.NewReader(c)
}

// readAhead reads the rest of the body. The slot is released once all of it has been read.
func (resp *serverResponse) readAhead() *prefetcher.Reader {
	return resp.dispatcher.readAhead(resp.request, prefetcher.Config{
		Body: &serverBodyReader{serverResponse: resp}, Finish: func(error) { resp.close() },
		Interrupt: func() {
			resp.interrupted.Store(true)
			_ = resp.response.Body.Close()
		},
	})
}

// stream writes a body, first the part that was read before. It flushes after each part if the
// length of the body is unknown, because such bodies may be produced slowly. The connection of a
// caller that takes too long to accept a write is closed. Nothing reads the body afterwards.
func (d *Dispatcher) stream(w http.ResponseWriter, first []byte, body *prefetcher.Reader, flush bool) error {
	defer body.Wait()
	defer body.Close()
	controller := http.NewResponseController(w)
	write := func(part []byte) error {
		_ = controller.SetWriteDeadline(time.Now().Add(d.config.StallTimeout))
		if _, err := w.Write(part); err != nil {
			return err
		}
		if flush {
			_ = controller.Flush()
		}
		return nil
	}
	for part := range slices.Chunk(first, streamBufferSize) {
		if err := write(part); err != nil {
			return err
		}
	}
	for {
		part, err := body.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := write(part); err != nil {
			return err
		}
	}
}
