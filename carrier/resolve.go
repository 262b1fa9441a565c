package carrier

import (
	"cmp"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// resolve finds the route and the deadline of the request, or refuses it.
func (c *call) resolve() bool {
	cr := c.carrier
	r := c.request
	if !c.findRoute() {
		return false
	}
	timeout, err := cr.requestTimeout(c.route, r.Header)
	if err != nil {
		cr.refuseEarly(c.writer, r, http.StatusBadRequest, verbenastand.ReasonBadRequest, 0)
		return false
	}
	c.deadline = c.arrived.Add(timeout)
	c.targetTime = c.arrived.Add(min(cmp.Or(c.route.Target(), timeout), timeout))
	c.service = cr.config.Balancer.Service(c.serviceName)
	c.budget = cr.Budget(c.serviceName)
	c.header = c.forwardedHeader()
	c.fingerprint = c.computeFingerprint()
	return true
}

// findRoute finds the route and chooses the service of the request, or refuses it. The host
// that delegates a request has done both: the tables of two hosts may differ for a while, and
// callers of one host must not see a change undone.
func (c *call) findRoute() bool {
	if origin := c.request.Origin(); origin != nil && origin.Route != nil {
		c.route, c.version, c.serviceName = *origin.Route, origin.Table, origin.Service
		return true
	}
	cr, r := c.carrier, c.request
	table := cr.config.Router.Table()
	if table == nil {
		cr.refuseEarly(c.writer, r, http.StatusServiceUnavailable, verbenastand.ReasonStarting, startingRetryAfter)
		return false
	}
	c.version = table.Version()
	match, found := cr.config.Router.Find(r.Host, r.URL.Path)
	if !found {
		cr.refuseEarly(c.writer, r, http.StatusNotFound, verbenastand.ReasonNoRoute, 0)
		return false
	}
	c.route = match.Route()
	c.serviceName = c.chooseService(match)
	return true
}

// RequestTimeout returns the time limit of a request, zero if there is none or the request
// is refused anyway.
func (c *Carrier) RequestTimeout(r *http.Request) time.Duration {
	match, found := c.config.Router.Find(r.Host, r.URL.Path)
	if !found {
		return 0
	}
	timeout, err := c.requestTimeout(match.Route(), r.Header)
	if err != nil {
		return 0
	}
	return timeout
}

// requestTimeout returns the time limit of a request: the lower of the caller's and the
// route's.
func (c *Carrier) requestTimeout(route verbenastand.Route, header http.Header) (time.Duration, error) {
	timeout := route.Timeout()
	text := header.Get(c.config.Names.Deadline)
	if text == "" {
		return timeout, nil
	}
	ms, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(ms > 0) {
		return 0, errors.New("carrier: malformed deadline")
	}
	callerTimeout := time.Duration(min(ms, float64(maxDeadline.Milliseconds())) * float64(time.Millisecond))
	if timeout <= 0 {
		return callerTimeout, nil
	}
	return min(timeout, callerTimeout), nil
}
