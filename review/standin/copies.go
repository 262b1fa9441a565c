package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The traffic and the disruption of the case. The work and the time limits are those of reserve
// in qalib-gw, the dose is that of "garble" with "extra late" there.
const (
	reserveTimeout = 800 * time.Millisecond
	reserveLimit   = 1500 * time.Millisecond
	reserveRate    = 220
	bookingServers = 4

	copyShare    = 0.03
	copyDuration = 5 * time.Second
	copyPause    = 2 * time.Second
	copyWindows  = 12
	// copyingServers is 0.6 of the servers, rounded down.
	copyingServers = 2
)

// runCopies sends unsafe requests while some servers send a second copy of some answers late.
func runCopies(o *options) (int, error) {
	d, err := newDeployment(o)
	if err != nil {
		return couldNotRun, err
	}
	defer d.end()
	zones := []string{"cairo", "giza"}
	var copying atomic.Pointer[[]int]
	copying.Store(&[]int{})
	for i := range bookingServers {
		err := d.addServer(serverConfig{
			id: fmt.Sprintf("i-%d", i), service: "bookings", zone: zones[i%2], slots: 6, queue: 2, tellsLoad: o.load,
			turnsAway: func() float64 {
				if len(*copying.Load()) > 0 {
					return o.shed
				}
				return 0
			},
			work: work{mean: 100 * time.Millisecond, longest: 1100 * time.Millisecond, spread: 0.3, tail: 0.03, tailTime: 7},
			copies: func() float64 {
				if slices.Contains(*copying.Load(), i) {
					return copyShare
				}
				return 0
			},
		})
		if err != nil {
			return couldNotRun, err
		}
	}
	table := routeTable(route{"/reserve/", "unsafe", "bookings", int(reserveTimeout.Milliseconds()), 300, 2})
	if err := d.start(table, zones); err != nil {
		return couldNotRun, err
	}
	time.Sleep(4 * time.Second)
	random := rand.New(rand.NewPCG(o.seed, 3))
	started := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		playCopies(o, &copying)
	}()
	var calls sync.WaitGroup
	for n := 0; ; n++ {
		select {
		case <-done:
			calls.Wait()
			return judgeCopies(o, d, time.Since(started)), nil
		case <-time.After(time.Duration(random.ExpFloat64() / reserveRate * float64(time.Second))):
		}
		q := &request{
			id: fmt.Sprintf("%06d-%04x", n, o.seed&0xffff), host: d.gateways[random.IntN(len(d.gateways))].frontend(),
			method: "POST", path: fmt.Sprintf("/reserve/%d", n), timeLimit: reserveLimit,
		}
		calls.Go(func() { call(o.record, q, strings.Repeat("b", 300)) })
	}
}

// playCopies plays the disruption several times.
func playCopies(o *options, copying *atomic.Pointer[[]int]) {
	random := rand.New(rand.NewPCG(o.seed, 4))
	for range copyWindows {
		time.Sleep(copyPause)
		chosen := random.Perm(bookingServers)[:copyingServers]
		if o.trouble {
			o.record.say("servers %v send a second copy of %g of their answers", chosen, copyShare)
			copying.Store(&chosen)
		}
		time.Sleep(copyDuration)
		copying.Store(&[]int{})
	}
	time.Sleep(copyPause)
}

// judgeCopies applies the rules TWICE, REFUSED and MIXED.
func judgeCopies(o *options, d *deployment, took time.Duration) int {
	o.record.writeAll()
	twice, refused, mixed := 0, 0, 0
	statuses := make(map[int]int)
	for _, q := range o.record.sorted() {
		statuses[q.status]++
		rule := ""
		switch {
		case len(q.runs) > 1:
			rule = "TWICE"
			twice++
		case len(q.runs) > 0 && slices.Contains([]int{429, 503, 408, 421}, q.status):
			rule = "REFUSED"
			refused++
		case q.status == 200 && (!q.signed || q.fault != ""):
			rule = "MIXED"
			mixed++
		}
		if rule != "" {
			o.record.say("%s: %s", rule, o.record.describe(q))
		}
	}
	for _, s := range d.servers {
		answers, copied, sheds := s.counts()
		o.record.say("%s: %d answers, %d of them refusals of a full server; %d were sent twice", s.id, answers, sheds, copied)
	}
	o.record.say("%d requests in %.0f s, by status %v; TWICE %d, REFUSED %d, MIXED %d", len(o.record.sorted()), took.Seconds(), statuses, twice, refused, mixed)
	if twice+refused+mixed > 0 {
		return broken
	}
	return held
}
