package carrier

import (
	"fmt"
	"runtime/debug"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/acceptor"
)

// containPanic is deferred where a request is handled. A panic would end the process with
// the requests of all callers; here it ends one request, which a server may have run.
func (c *Carrier) containPanic(w *acceptor.Response, r *acceptor.Request) {
	value := recover()
	if value == nil {
		return
	}
	err := c.reportPanic(r.Header.Get(c.config.Names.RequestID), value)
	if w.Written() {
		// The caller may have received a part of the response.
		w.Abort()
		return
	}
	incoming := &call{carrier: c, request: r, writer: w, id: r.Header.Get(c.config.Names.RequestID), arrived: r.Arrived()}
	incoming.refuse(err)
}

// containPanic is deferred where an attempt runs, with what ends it at its server.
func (c *call) containPanic(o **outcome, end *func()) {
	value := recover()
	if value == nil {
		return
	}
	failed := &outcome{err: c.carrier.reportPanic(c.id, value), finish: func(error) {}}
	if *o != nil {
		failed.server, failed.delegate = (*o).server, (*o).delegate
	}
	*o = failed
	(*end)()
}

// reportPanic records a recovered panic and returns it as an error.
func (c *Carrier) reportPanic(id string, value any) error {
	c.config.Observer.Panicked(id, value, debug.Stack())
	return verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonServerFailed, fmt.Errorf("carrier: panic: %v", value))
}
