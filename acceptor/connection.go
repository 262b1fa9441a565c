package acceptor

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/bounder"
)

const (
	readBuffer = 4 << 10
	// headerSlack is what the parser may read beyond the header limit, since it
	// reads complete buffers.
	headerSlack = readBuffer
)

var (
	errCallerDisconnected = errors.New("acceptor: the caller closed the connection")
	errClosing            = errors.New("acceptor: the connection is closing")
)

// connection is a connection of a caller. One goroutine reads requests; each request
// is handled by a separate goroutine, and responses are written in the order of
// arrival.
type connection struct {
	acceptor       *Acceptor
	conn           net.Conn
	limited        *bounder.Reader
	reader         *bufio.Reader
	ctx            context.Context
	cancelHandlers context.CancelCauseFunc
	pipelineSlots  chan struct{}
	handlers       sync.WaitGroup
	// bodyUnread is set if the caller may still be sending a body that nobody reads.
	bodyUnread bool
	// memory and requests are the shares of the caller's network address.
	memory, requests *bounder.Share
	// held is the memory that was taken for the connection itself.
	held int64
	// bodyMemory is where the memory of bodies is taken from.
	bodyMemory bounder.Source
	// chargeHead charges a part of a header before it is parsed.
	chargeHead func([]byte) error
	// charged is the memory that was taken for the header that is being read, credit the part
	// of it for what has not arrived yet, and reserved is set once its place among the
	// requests was taken.
	charged, credit int64
	reserved        bool
	// closed is closed once closing is set.
	closed chan struct{}

	mu sync.Mutex
	// pending counts the requests that were read and have no response yet.
	pending int
	// idleSince is when the last response was written.
	idleSince time.Time
	// lingeringSince is when the connection began to linger, zero if it doesn't. evicted is set
	// if it was closed for others, and must not linger.
	lingeringSince time.Time
	evicted        bool
	// responded is set once a response was written.
	responded bool
	// closing is set once no further request is accepted on the connection.
	closing bool
	// stopped is set once the acceptor takes no more requests.
	stopped bool
	// received is set once a request was read.
	received bool
	// wasCut is set once the pending handlers were cancelled.
	wasCut bool
	// writing is set while the response to the first pending request is written.
	writing bool
	// receiving is set while the body of a request is read whose header is complete.
	receiving bool
	// streaming is set while a handler reads the body of a request.
	streaming bool
}

func newConnection(a *Acceptor, conn net.Conn) *connection {
	limited := bounder.NewReader(conn, bounder.Unlimited)
	ctx, cancel := context.WithCancelCause(context.Background())
	c := &connection{
		acceptor: a, conn: conn, limited: limited, reader: bufio.NewReaderSize(limited, readBuffer),
		ctx: ctx, cancelHandlers: cancel, pipelineSlots: make(chan struct{}, a.config.MaxPipelined),
		idleSince: time.Now(), closed: make(chan struct{}),
	}
	account := c.account()
	c.memory, c.requests = a.memory.Open(account), a.requests.Open(account)
	c.bodyMemory = bounder.Sources{c.memory, a.requestMemory}
	c.chargeHead = c.charge
	return c
}

// run reads requests until the connection ends, then waits for their handlers.
func (c *connection) run() {
	turn := firstTurn
	var ahead *precedence
	for {
		r, err := c.read()
		c.discardCharge()
		if err != nil {
			c.refuse(err, turn)
			break
		}
		next := make(chan struct{})
		if !c.addRequest(r) {
			r.release()
			break
		}
		w := &Response{connection: c, request: r, turn: turn, next: next}
		r.turn, r.ahead, r.own = turn, ahead, newPrecedence()
		ahead = r.own
		c.handlers.Go(func() { c.handle(w, r) })
		turn = next
		if !c.awaitBody(r) {
			c.bodyUnread = true
			break
		}
		if r.last {
			break
		}
	}
	c.detectDisconnect()
	c.handlers.Wait()
	c.cancelHandlers(errCallerDisconnected)
	c.linger()
}

// firstTurn is closed, since the first request of a connection waits for no other.
var firstTurn = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// addRequest counts a new request, unless the connection is closing. If the request was
// read while the acceptor stopped, and no other response can announce the end of the
// connection, it is counted as late.
func (c *connection) addRequest(r *Request) bool {
	if !c.awaitSlot() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		if !c.stopped || c.pending > 0 {
			return false
		}
		r.late, r.last = true, true
	}
	c.received, c.streaming = true, r.stream != nil
	c.pending++
	return true
}

// addRefusal counts an invalid request, unless the connection is closing, and returns the
// number of earlier requests without a response.
func (c *connection) addRefusal() (earlier int, ok bool) {
	if !c.awaitSlot() {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, false
	}
	c.pending++
	return c.pending - 1, true
}

// awaitSlot waits until the connection may have another pending request.
func (c *connection) awaitSlot() bool {
	select {
	case c.pipelineSlots <- struct{}{}:
		return true
	case <-c.ctx.Done():
		return false
	}
}

func (c *connection) handle(w *Response, r *Request) {
	defer func() {
		<-c.pipelineSlots
		c.mu.Lock()
		c.pending--
		c.writing = false
		c.idleSince, c.responded = time.Now(), true
		c.mu.Unlock()
		r.release()
		r.own.set(false)
		close(w.next)
	}()
	c.acceptor.config.Handler.Serve(c.ctx, w, r)
	if !w.written {
		// The caller would take the next response for the missing one.
		c.abort(CutUnanswered, nil)
	}
	if r.stream != nil {
		r.stream.close()
	}
}

// read returns the next request, with a small body already in memory.
func (c *connection) read() (*Request, error) {
	limits := c.acceptor.config.Limits()
	if c.reader.Buffered() == 0 {
		c.limited.Allow(bounder.Unlimited)
		if err := c.awaitFirstByte(limits.IdleTimeout); err != nil {
			return nil, err
		}
	}
	if err := c.reserve(limits.HeaderBytes, limits.HeaderTimeout); err != nil {
		return nil, err
	}
	c.allowReading(limits.HeaderTimeout)
	c.limited.Allow(int64(limits.HeaderBytes) + headerSlack - int64(c.reader.Buffered()))
	c.limited.Charge(c.chargeHead)
	httpRequest, err := http.ReadRequest(c.reader)
	c.limited.Charge(nil)
	if err != nil {
		return nil, c.readError(err)
	}
	c.limited.Allow(bounder.Unlimited)
	r := &Request{Request: httpRequest, arrived: time.Now(), remote: c.remote(), origin: c.origin(), last: httpRequest.Close}
	if err := validate(httpRequest); err != nil {
		c.bodyUnread = true
		return nil, err
	}
	c.settle(r)
	c.setReceiving(true)
	defer c.setReceiving(false)
	c.allowReading(c.bodyTimeout(httpRequest))
	if err := c.readBody(r, limits.BodyBytes); err != nil {
		c.bodyUnread = true
		if c.interrupted() {
			return r, nil
		}
		r.release()
		return nil, err
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	return r, nil
}

// remote returns the address of the caller.
func (c *connection) remote() string {
	if origin := c.origin(); origin != nil {
		return origin.Caller
	}
	return c.conn.RemoteAddr().String()
}

// origin returns where requests of the connection come from that another host delegates,
// nil if they come from a caller.
func (c *connection) origin() *verbenastand.Origin {
	if d, ok := c.conn.(*delegatedConn); ok {
		return &d.origin
	}
	return nil
}

// awaitFirstByte waits for the start of a request. The idle timeout runs from the
// last response, and only while no request is pending.
func (c *connection) awaitFirstByte(idle time.Duration) error {
	for {
		if err := c.extendIdle(idle); err != nil {
			return err
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return nil
		}
		if !errors.Is(c.limited.Err(), os.ErrDeadlineExceeded) {
			return c.readError(err)
		}
	}
}

// extendIdle sets the read deadline to the end of the idle timeout, unless it is
// over or the connection is closing.
func (c *connection) extendIdle(idle time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && !c.awaitsDelegated() {
		return errClosing
	}
	now := time.Now()
	end := now.Add(idle)
	if c.pending == 0 {
		end = c.idleSince.Add(idle)
	}
	if !now.Before(end) {
		return errClosing
	}
	_ = c.conn.SetReadDeadline(end)
	return nil
}

func (c *connection) setReceiving(receiving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = receiving
}

func (c *connection) setWriting(writing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = writing
}

// allowWriting sets the write deadline for the next part of a message. That of an earlier part
// may have passed.
func (c *connection) allowWriting() {
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.acceptor.config.StallTimeout))
}
