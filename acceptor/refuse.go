package acceptor

import (
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
)

// readError returns the error with which reading a message ends. Only the connection shows
// whether the caller has left: callers choose the bytes that errors of the parsers depend on.
func (c *connection) readError(err error) error {
	cause := c.limited.Err()
	var memory *messageError
	switch {
	case errors.Is(cause, errClosing):
		return errClosing
	case errors.As(cause, &memory):
		return memory
	case c.limited.Exceeded():
		return &messageError{FaultHeaderTooLarge, "the header is too large"}
	case errors.Is(cause, os.ErrDeadlineExceeded):
		return &messageError{FaultIncomplete, "the request did not arrive in time"}
	case cause != nil:
		return errors.Join(errCallerDisconnected, cause)
	case strings.HasPrefix(err.Error(), unsupportedEncoding):
		return &messageError{FaultEncoding, err.Error()}
	}
	return &messageError{FaultMalformed, err.Error()}
}

// unsupportedEncoding begins the error of net/http for a transfer coding that it does not
// know. It has no exported type.
const unsupportedEncoding = "unsupported transfer encoding"

// messageError is the error of a message that is no valid request.
type messageError struct {
	fault Fault
	text  string
}

func (e *messageError) Error() string { return e.text }

// validate refuses what net/http's parser accepts but a server might interpret
// differently.
func validate(r *http.Request) error {
	if r.ProtoMajor != 1 {
		return &messageError{FaultVersion, "unsupported version"}
	}
	if r.Method == http.MethodConnect {
		return &messageError{FaultMalformed, "unsupported method"}
	}
	if r.ProtoMinor > 0 && r.Host == "" {
		return &messageError{FaultMalformed, "missing Host"}
	}
	if !httpguts.ValidHostHeader(r.Host) {
		return &messageError{FaultMalformed, "malformed Host"}
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &messageError{FaultMalformed, "malformed header name"}
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return &messageError{FaultMalformed, "malformed header value"}
			}
		}
	}
	return nil
}

// refuse handles an error of read. It responds to a message that is no valid request, and
// cancels the pending handlers if the caller has disconnected.
func (c *connection) refuse(err error, turn <-chan struct{}) {
	if errors.Is(err, errCallerDisconnected) {
		c.cut(CutCallerLeft, err)
		return
	}
	var message *messageError
	if !errors.As(err, &message) {
		return
	}
	earlier, ok := c.addRefusal()
	if !ok {
		return
	}
	c.acceptor.config.Observer.MessageRefused(Refusal{
		Caller: c.remote(), Fault: message.fault, Status: message.fault.status(), Pending: earlier, Err: err,
	})
	c.handlers.Go(func() { c.writeRefusal(message, turn) })
}

// writeRefusal responds in order and ends the connection.
func (c *connection) writeRefusal(message *messageError, turn <-chan struct{}) {
	select {
	case <-turn:
	case <-c.ctx.Done():
		return
	}
	c.setWriting(true)
	c.allowWriting()
	head := http.Header{"Content-Type": {"text/plain"}}
	if message.fault == FaultMemory {
		head = noMemoryHeader()
	}
	_ = writeMessage(c.conn, message.fault.status(), head, []byte(message.text+"\n"), true, false)
	c.mu.Lock()
	c.pending--
	c.writing = false
	c.idleSince, c.responded = time.Now(), true
	c.mu.Unlock()
}
