package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// The traffic and the disruption of the case. The work and the time limits are those of templates
// and browse in qalib-gw, the dose is that of "garble" there.
const (
	templateTimeout = 1200 * time.Millisecond
	templateBytes   = 2 << 20
	browseTimeout   = 1200 * time.Millisecond
	browseBytes     = 5000
	// behindCallers is the number of callers. Each sends browsing requests behind a download.
	behindCallers = 40
	behindCount   = 3
	behindPause   = 300 * time.Millisecond

	breakShare    = 0.02
	breakDuration = 5500 * time.Millisecond
	breakPause    = 1500 * time.Millisecond
	breakWindows  = 12
	patternCount  = 8
	// breakingServers is 0.35 of the servers, rounded down.
	breakingServers = 2
	catalogueCount  = 12
	// lostAllowed is the number of requests that the rule lets a machine lose.
	lostAllowed = 3
)

// runBehind breaks off downloads of some servers, while callers send safe requests behind
// downloads.
func runBehind(o *options) (int, error) {
	d, err := newDeployment(o)
	if err != nil {
		return couldNotRun, err
	}
	defer d.end()
	zones := []string{"cairo", "giza"}
	var breaking atomic.Pointer[[]int]
	breaking.Store(&[]int{})
	for i := range patternCount {
		err := d.addServer(serverConfig{
			id: fmt.Sprintf("p-%d", i), service: "patterns", zone: zones[i%2], slots: 6, queue: 12, tellsLoad: true, size: templateBytes,
			work: work{mean: 61 * time.Millisecond, longest: 650 * time.Millisecond, spread: 0.3, tail: 0.03, tailTime: 7},
			breaks: func() float64 {
				if slices.Contains(*breaking.Load(), i) {
					return breakShare
				}
				return 0
			},
		})
		if err != nil {
			return couldNotRun, err
		}
	}
	for i := range catalogueCount {
		err := d.addServer(serverConfig{
			id: fmt.Sprintf("c-%d", i), service: "catalogue", zone: zones[i%2], slots: 6, queue: 12, tellsLoad: true, size: browseBytes,
			work: work{mean: 76 * time.Millisecond, longest: 810 * time.Millisecond, spread: 0.3, tail: 0.03, tailTime: 7},
		})
		if err != nil {
			return couldNotRun, err
		}
	}
	table := routeTable(
		route{"/templates/", "download", "patterns", int(templateTimeout.Milliseconds()), 300, 2},
		route{"/browse/", "safe", "catalogue", int(browseTimeout.Milliseconds()), 250, 2},
	)
	if err := d.start(table, zones); err != nil {
		return couldNotRun, err
	}
	time.Sleep(4 * time.Second)
	end := make(chan struct{})
	var callers sync.WaitGroup
	for i := range behindCallers {
		c := &behindCaller{deployment: d, number: i, address: d.gateways[i%len(d.gateways)].frontend(), random: rand.New(rand.NewPCG(o.seed, uint64(100+i)))}
		callers.Go(func() { c.run(end) })
	}
	random := rand.New(rand.NewPCG(o.seed, 4))
	for range breakWindows {
		time.Sleep(breakPause)
		chosen := random.Perm(patternCount)[:breakingServers]
		if o.trouble {
			o.record.say("servers %v of patterns break off %g of their answers", chosen, breakShare)
			breaking.Store(&chosen)
		}
		time.Sleep(breakDuration)
		breaking.Store(&[]int{})
	}
	close(end)
	callers.Wait()
	return judgeBehind(o, d), nil
}

// judgeBehind applies the rule LOST to the requests that sound servers ran.
func judgeBehind(o *options, d *deployment) int {
	o.record.writeAll()
	lost, ready := make(map[string]int), 0
	for _, q := range o.record.sorted() {
		if q.method != "GET" || q.status != 0 || len(q.runs) == 0 || q.runs[0].server[0] != 'c' {
			continue
		}
		lost[q.host]++
		if run := q.runs[len(q.runs)-1]; run.result == "200" {
			ready++
		}
		o.record.say("LOST: %s", o.record.describe(q))
	}
	broke := 0
	for _, s := range d.list() {
		broke += s.broken
	}
	o.record.say("%d requests; %d downloads were broken off by their server; %d requests to sound servers had no answer, %d of them were answered by the server; by host %v",
		len(o.record.sorted()), broke, sum(lost), ready, values(lost))
	for _, n := range lost {
		if n > lostAllowed {
			return broken
		}
	}
	return held
}

func sum(counts map[string]int) (total int) {
	for _, n := range counts {
		total += n
	}
	return total
}

func values(counts map[string]int) (list []int) {
	for _, n := range counts {
		list = append(list, n)
	}
	return list
}

// behindCaller is a caller that keeps a connection and sends safe requests behind a download.
type behindCaller struct {
	deployment *deployment
	number     int
	address    string
	random     *rand.Rand
	sent       int
}

func (c *behindCaller) run(end <-chan struct{}) {
	for {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return
		}
		reader := bufio.NewReaderSize(conn, 64<<10)
		for open := true; open; {
			select {
			case <-end:
				_ = conn.Close()
				return
			case <-time.After(time.Duration(c.random.ExpFloat64() * float64(behindPause))):
			}
			open = c.exchange(conn, reader)
		}
		_ = conn.Close()
	}
}

// exchange sends a download with further requests behind it, reads the answers, and reports
// whether the connection stays open.
func (c *behindCaller) exchange(conn net.Conn, reader *bufio.Reader) bool {
	r := c.deployment.options.record
	var requests []*request
	text := ""
	for i := range 1 + behindCount {
		q := &request{
			id: fmt.Sprintf("c%02d-%05d-%04x", c.number, c.sent, c.deployment.options.seed&0xffff), host: c.address, method: "GET",
			path: fmt.Sprintf("/browse/%d/%d", c.number, c.sent), timeLimit: browseTimeout,
		}
		if i == 0 {
			q.path = fmt.Sprintf("/templates/%d/%d", c.number, c.sent)
		}
		c.sent++
		requests = append(requests, q)
		text += head(q, 0)
		r.sent(q)
	}
	_ = conn.SetDeadline(time.Now().Add(browseTimeout + 2*time.Second))
	_, err := io.WriteString(conn, text)
	open := err == nil
	for i, q := range requests {
		if !open {
			r.answered(q, 0, false, "the connection ended")
			continue
		}
		size := browseBytes
		if i == 0 {
			size = templateBytes
		}
		open = readAnswer(r, q, reader, pad(bodyOf(q.id, q.method, q.path, ""), size))
	}
	return open
}
