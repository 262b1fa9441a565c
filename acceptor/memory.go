package acceptor

import (
	"bytes"
	"net"
	"net/http"
	"slices"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/bounder"
)

// What a connection and a request take beside headers and bodies: goroutines, buffers, the
// connection to a server.
const (
	connectionMemory = 16 << 10
	requestMemory    = 40 << 10
	// settledMemory is the charge for a header above which it is replaced by the cost of
	// what was parsed. Ordinary requests stay below it.
	settledMemory = 64 << 10
)

// unlimited is the size of a budget that is never exhausted.
const unlimited = 1 << 40

// Memory returns the share of the host's memory of the caller of the request.
func (r *Request) Memory() bounder.Source { return r.account.memory }

// account returns the key of the shares that a connection uses: the network address of its
// caller.
func (c *connection) account() string {
	remote := c.remote()
	if host, _, err := net.SplitHostPort(remote); err == nil {
		return host
	}
	return remote
}

// reserve takes the place of the next request, and the memory of its header. While that is not
// available, the connection isn't read: its caller waits.
func (c *connection) reserve(limit int, timeout time.Duration) error {
	if !c.requests.Take(1) && !c.await(c.requests, 1, timeout) {
		return c.noMemory()
	}
	c.reserved = true
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	cost := requestMemory + bounder.HeadCost(buffered)
	c.credit = 0
	if !bytes.Contains(buffered, headEnd) {
		c.credit = c.expectedCost(buffered, limit)
	}
	cost += c.credit
	if !c.memory.Take(cost) && !c.await(c.memory, cost, timeout) {
		return c.noMemory()
	}
	c.charged = cost
	return nil
}

var headEnd = []byte("\r\n\r\n")

// expectedCost returns the cost of the rest of a header, which is taken before any of it is
// parsed: connections that wait for more memory, each with a part of a header, would wait for
// each other.
func (c *connection) expectedCost(part []byte, limit int) int64 {
	return min(bounder.ExpectedCost(part, limit+headerSlack), c.acceptor.memory.Size()/maxExpectedPart)
}

// maxExpectedPart bounds the expected cost to a part of all memory, if headers may be very
// long.
const maxExpectedPart = 8

// charge charges a part of a header before it is parsed. A header that takes more than
// expected, while no memory is left, is refused at once.
func (c *connection) charge(part []byte) error {
	cost := bounder.HeadCost(part)
	amount := max(0, cost-c.credit)
	c.credit -= cost - amount
	if !c.memory.Take(amount) {
		c.reportShortage()
		return c.noMemory()
	}
	c.charged += amount
	return nil
}

func (c *connection) reportShortage() {
	c.acceptor.config.OnShortage(Shortage{Caller: c.remote(), Held: c.memory.Held(), Left: c.acceptor.memory.Left()})
}

// await waits for an amount for as long as a header may take, or, if earlier requests of the
// connection are pending, until they are not: their end returns memory.
func (c *connection) await(share *bounder.Share, amount int64, timeout time.Duration) bool {
	c.reportShortage()
	for {
		if share.Await(c.closed, c.ctx.Done(), timeout, amount) {
			return true
		}
		c.mu.Lock()
		ended := c.closing || c.pending == 0
		c.mu.Unlock()
		if ended || c.ctx.Err() != nil {
			return false
		}
		timeout = memoryPoll
	}
}

// memoryPoll is the time between two checks of the pending requests of a connection that waits
// for memory.
const memoryPoll = 100 * time.Millisecond

// noMemory returns the error of a request for which no memory was left in time.
func (c *connection) noMemory() error {
	c.mu.Lock()
	closing := c.closing
	c.mu.Unlock()
	if closing || c.ctx.Err() != nil {
		return errClosing
	}
	return &messageError{FaultMemory, "the host has no memory left for this caller"}
}

// noMemoryHeader returns the header of a response to a request for which no memory was left.
func noMemoryHeader() http.Header {
	return http.Header{
		"Content-Type": {"text/plain"}, "Retry-After": {noMemoryRetryAfter},
		verbenastand.HeaderVerdict: {verbenastand.NotRun.String()}, verbenastand.HeaderReason: {verbenastand.ReasonOverload.String()},
	}
}

// noMemoryRetryAfter is in seconds. Memory becomes free as the pending requests of the same
// network address end, most of which take less than that.
const noMemoryRetryAfter = "1"

// closeShares ends the use of the shares of a connection.
func (c *connection) closeShares() {
	c.memory.Return(c.held)
	c.memory.Close()
	c.requests.Close()
}

// settle moves the charge for a header to its request: what a header of many lines really
// takes, or what was charged for the bytes.
func (c *connection) settle(r *Request) {
	r.account, r.charged = c, c.charged
	if c.charged > settledMemory {
		r.charged = min(c.charged, requestMemory+bounder.HeaderCost(r.Header))
		c.memory.Return(c.charged - r.charged)
	}
	c.charged, c.reserved = 0, false
}

// discardCharge returns the charge for a message that became no request.
func (c *connection) discardCharge() {
	c.memory.Return(c.charged)
	if c.reserved {
		c.requests.Return(1)
	}
	c.charged, c.reserved = 0, false
}

// release returns the memory of a request that was handled.
func (r *Request) release() {
	r.buffer.Release()
	if r.account == nil || r.released {
		return
	}
	r.released = true
	r.account.memory.Return(r.charged)
	r.account.requests.Return(1)
}

// admit makes room for a new connection, and reports whether there is any. Connections without
// pending requests are closed for it, those first that have been idle longest. If there are
// none, others that wait to be accepted are not kept waiting. One over which another host
// delegates is not subject to that: its close would be taken for a request that may have run.
func (a *Acceptor) admit(c *connection) bool {
	if c.origin() != nil {
		return true
	}
	if !c.memory.Take(connectionMemory) {
		if !a.closeIdle(c.account()) || !c.memory.Await(nil, nil, admitTimeout, connectionMemory) {
			return false
		}
	}
	c.held = connectionMemory
	if a.config.MaxConnections == 0 || a.Connections() < a.config.MaxConnections {
		return true
	}
	if !a.closeIdle("") {
		return false
	}
	for end := time.Now().Add(admitTimeout); a.Connections() >= a.config.MaxConnections; time.Sleep(admitPoll) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

const (
	// admitTimeout bounds the wait for connections that are being closed. Others that arrive
	// meanwhile wait in the queue of the listener.
	admitTimeout = 20 * time.Millisecond
	admitPoll    = time.Millisecond
	// closedShare is the part of the idle connections that are closed at once, so that
	// not each new connection has to find the one that has been idle longest.
	closedShare = 64
)

// closeIdle closes those connections that have been idle or lingering longest, of one account
// unless that is empty, and reports whether there were any.
func (a *Acceptor) closeIdle(account string) bool {
	type candidate struct {
		connection *connection
		idleSince  time.Time
	}
	var idle []candidate
	a.mu.Lock()
	for c := range a.connections {
		if c.origin() != nil || (account != "" && c.account() != account) {
			continue
		}
		c.mu.Lock()
		switch {
		case !c.lingeringSince.IsZero():
			idle = append(idle, candidate{c, c.lingeringSince})
		case c.pending == 0 && !c.receiving && !c.closing:
			idle = append(idle, candidate{c, c.idleSince})
		}
		c.mu.Unlock()
	}
	a.mu.Unlock()
	slices.SortFunc(idle, func(x, y candidate) int { return x.idleSince.Compare(y.idleSince) })
	for i := range min(len(idle), 1+len(idle)/closedShare) {
		idle[i].connection.closeUnlessPending()
	}
	return len(idle) > 0
}

// closeUnlessPending closes a connection of which no request is pending. A request whose header is
// being read is not taken; one whose body is arriving keeps its connection, since it gets a response.
// A connection that lingers doesn't any more: others wait for its place.
func (c *connection) closeUnlessPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lingeringSince.IsZero() {
		c.lingeringSince = time.Time{}
		_ = c.conn.Close()
		c.acceptor.idleClosed.Add(1)
		return
	}
	if c.pending > 0 || c.receiving || c.closing {
		return
	}
	c.evicted = true
	c.closeLocked()
	c.acceptor.idleClosed.Add(1)
}

// Shortage describes a wait for memory.
type Shortage struct {
	// Caller is the address of the caller.
	Caller string
	// Held is what its network address holds, and Left what is left for all, in bytes.
	Held, Left int64
}

// Closed returns the number of connections that were closed or rejected because there were too
// many.
func (a *Acceptor) Closed() int64 { return a.idleClosed.Load() + a.rejected.Load() }
