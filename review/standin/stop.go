package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// archiveTimeout and archiveLimit are the route's timeout and the callers' time limit of
	// archive-read in tsela-gw.
	archiveTimeout = 4 * time.Second
	archiveLimit   = 6 * time.Second
	// sendInterval is the time between two requests of a caller, which does not wait for the
	// answer to the first.
	sendInterval = 400 * time.Millisecond
	// stopCallers is the number of callers of the host that is stopped.
	stopCallers = 10
	// gracePeriod and lateSend are from the rule: a request that was sent no later than
	// lateSend after the SIGTERM may be broken off at the end of the grace period.
	gracePeriod = 6 * time.Second
	lateSend    = 3 * time.Second
	// lookupUse is how many times the validity some callers keep the answer to a lookup.
	lookupUse = 3
)

// runStop stops one of two hosts by SIGTERM while callers that looked it up shortly before
// send safe requests behind each other on their connections.
func runStop(o *options) (int, error) {
	d, err := newDeployment(o)
	if err != nil {
		return couldNotRun, err
	}
	defer d.end()
	zones := []string{"gp-midrand", "gp-centurion"}
	for i := range 8 {
		err := d.addServer(serverConfig{
			id: fmt.Sprintf("i-%d", i), service: "condarchive", zone: zones[i%2], slots: 6, queue: 24, tellsLoad: true,
			work: work{mean: 750 * time.Millisecond, longest: 7900 * time.Millisecond, spread: 0.3, tail: 0.03, tailTime: 7},
		})
		if err != nil {
			return couldNotRun, err
		}
	}
	table := routeTable(route{"/archive/", "safe", "condarchive", int(archiveTimeout.Milliseconds()), 2000, 2})
	if err := d.start(table, zones); err != nil {
		return couldNotRun, err
	}
	time.Sleep(4 * time.Second)
	stopped := d.gateways[0]
	var callers sync.WaitGroup
	for i := range stopCallers {
		c := &pipeliner{deployment: d, number: i, address: stopped.frontend(), random: rand.New(rand.NewPCG(o.seed, uint64(100+i)))}
		_, validity, err := lookUp(stopped, stopped.zone)
		if err != nil {
			return couldNotRun, err
		}
		c.until = time.Now().Add(lookupUse * validity)
		callers.Go(c.run)
	}
	time.Sleep(200 * time.Millisecond)
	stoppedAt := time.Now()
	if o.trouble {
		o.record.say("SIGTERM to %s", stopped.name)
		if err := stopped.command.Process.Signal(syscall.SIGTERM); err != nil {
			return couldNotRun, err
		}
	}
	callers.Wait()
	if o.trouble {
		select {
		case <-stopped.exited:
			o.record.say("%s has ended", stopped.name)
		case <-time.After(gracePeriod):
		}
	}
	return judgeStop(o, stopped, stoppedAt, gracePeriod, archiveTimeout), nil
}

// The grace period and the timeout of history in qalib-gw-large, with the rate of the variant.
const (
	largeGrace   = 10 * time.Second
	largeTimeout = 10 * time.Second
	largeLimit   = 20 * time.Second
	largeRate    = 60
)

// runStopFresh stops one of two hosts that have the grace period of a large deployment, while
// callers that looked it up shortly before send each request on a new connection.
func runStopFresh(o *options) (int, error) {
	d, err := newDeployment(o)
	if err != nil {
		return couldNotRun, err
	}
	defer d.end()
	d.graceS = int(largeGrace.Seconds())
	zones := []string{"cairo", "giza"}
	for i := range 24 {
		err := d.addServer(serverConfig{
			id: fmt.Sprintf("i-%d", i), service: "ledger", zone: zones[i%2], slots: 6, queue: 12, tellsLoad: true,
			work: work{mean: 1400 * time.Millisecond, longest: 15 * time.Second, spread: 0.3, tail: 0.03, tailTime: 7},
		})
		if err != nil {
			return couldNotRun, err
		}
	}
	table := routeTable(route{"/history/", "safe", "ledger", int(largeTimeout.Milliseconds()), 4000, 2})
	if err := d.start(table, zones); err != nil {
		return couldNotRun, err
	}
	time.Sleep(4 * time.Second)
	stopped := d.gateways[0]
	_, validity, err := lookUp(stopped, stopped.zone)
	if err != nil {
		return couldNotRun, err
	}
	until := time.Now().Add(lookupUse * validity)
	stoppedAt := time.Now()
	if o.trouble {
		o.record.say("SIGTERM to %s", stopped.name)
		if err := stopped.command.Process.Signal(syscall.SIGTERM); err != nil {
			return couldNotRun, err
		}
	}
	random := rand.New(rand.NewPCG(o.seed, 7))
	var calls sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / largeRate * float64(time.Second)))
		q := &request{
			id: fmt.Sprintf("%05d-%04x", n, o.seed&0xffff), host: stopped.frontend(), method: "GET",
			path: fmt.Sprintf("/history/%d", n), timeLimit: largeLimit,
		}
		calls.Go(func() { call(o.record, q, "") })
	}
	calls.Wait()
	return judgeStop(o, stopped, stoppedAt, largeGrace, largeTimeout), nil
}

// judgeStop applies the rule LOST to the requests that were sent to the stopped host.
func judgeStop(o *options, stopped *gateway, stoppedAt time.Time, grace, timeout time.Duration) int {
	o.record.writeAll()
	lost, late, answered := 0, 0, 0
	for _, q := range o.record.sorted() {
		if q.status != 0 && q.signed {
			answered++
		}
		if q.host != stopped.frontend() || !q.sentAt.After(stoppedAt.Add(lateSend)) || q.sentAt.After(stoppedAt.Add(grace+time.Second)) {
			continue
		}
		if len(q.runs) == 0 {
			continue
		}
		late++
		inTime := q.answeredAt.Before(q.sentAt.Add(timeout))
		if !q.signed && atWorkAt(q) && inTime {
			lost++
			o.record.say("LOST: %s; sent %.3f s after the SIGTERM, broken off %.3f s after it", o.record.describe(q),
				q.sentAt.Sub(stoppedAt).Seconds(), q.answeredAt.Sub(stoppedAt).Seconds())
		}
	}
	o.record.say("%d requests, %d answered by servers; %d were sent later than %s after the stop began and passed on, %d of these lost",
		len(o.record.sorted()), answered, late, lateSend, lost)
	if lost > 0 {
		return broken
	}
	return held
}

// noticeTime is the time in which a server notices that a connection has been closed.
const noticeTime = 100 * time.Millisecond

// atWorkAt reports whether a server was at work on the request when it was answered, and
// dropped it only because its connection was closed then.
func atWorkAt(q *request) bool {
	for _, run := range q.runs {
		droppedThen := run.result == dropped && run.endedAt.After(q.answeredAt.Add(-noticeTime))
		if run.endedAt.IsZero() || run.endedAt.After(q.answeredAt) || droppedThen {
			return true
		}
	}
	return false
}

// pipeliner is a caller that sends further safe requests before the first has been answered.
type pipeliner struct {
	deployment *deployment
	number     int
	address    string
	until      time.Time
	random     *rand.Rand
	sent       int
}

// run sends requests until the answer to the caller's lookup is too old. If its connection
// ends, it uses the other address of that answer.
func (p *pipeliner) run() {
	time.Sleep(time.Duration(p.random.Float64() * float64(sendInterval)))
	for time.Now().Before(p.until) {
		if !p.useConnection() {
			p.address = p.deployment.gateways[1].frontend()
		}
	}
}

// useConnection sends requests on one connection until it ends, and reports whether the
// address may be used again.
func (p *pipeliner) useConnection() bool {
	r := p.deployment.options.record
	conn, err := net.DialTimeout("tcp", p.address, time.Second)
	if err != nil {
		return false
	}
	pending := make(chan *request, 1000)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		reader, open := bufio.NewReader(conn), true
		for q := range pending {
			if !open {
				r.answered(q, 0, false, "behind the end of the connection")
				continue
			}
			_ = conn.SetReadDeadline(q.sentAt.Add(archiveLimit + 500*time.Millisecond))
			if open = readAnswer(r, q, reader, bodyOf(q.id, q.method, q.path, "")); !open {
				_ = conn.Close()
			}
		}
	}()
	sound := true
	for time.Now().Before(p.until) {
		q := &request{
			id: fmt.Sprintf("c%02d-%03d-%04x", p.number, p.sent, p.deployment.options.seed&0xffff), host: p.address, method: "GET",
			path: fmt.Sprintf("/archive/%d/%d", p.number, p.sent), timeLimit: archiveLimit,
		}
		p.sent++
		r.sent(q)
		if _, err := io.WriteString(conn, head(q, 0)); err != nil {
			r.answered(q, 0, false, "the connection ended before it was sent")
			sound = false
			break
		}
		pending <- q
		time.Sleep(sendInterval)
	}
	close(pending)
	<-ended
	_ = conn.Close()
	return sound
}
