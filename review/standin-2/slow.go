package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// slowReader is a requester with a line of its own speed, which keeps one channel and sends
// further requests before the first has been answered.
type slowReader struct {
	record  *record
	number  int
	address string
	from    string
	// perSecond is how many bytes it reads a second.
	perSecond int
}

// result is what became of one of its requests.
type result struct {
	id       string
	sent     time.Time
	ended    time.Time
	complete bool
	err      error
}

func (s *slowReader) request(path string, n int, timeLimit time.Duration) (id, text string) {
	id = fmt.Sprintf("%s-%d-%d", strings.Split(path, "/")[1], s.number, n)
	return id, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n\r\n", path, id, timeLimit.Milliseconds())
}

// paced reads no faster than a line of a speed.
type paced struct {
	reader    io.Reader
	perSecond int
}

func (p paced) Read(b []byte) (int, error) {
	n, err := p.reader.Read(b[:min(len(b), p.perSecond/50)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(p.perSecond))
	return n, err
}

// run sends a download and a small request behind it, and another small one after a while. It
// returns what became of the first two.
func (s *slowReader) run(timeLimit, later time.Duration) ([]result, error) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(s.from)}, Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		_ = c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10) })
		return err
	}}
	c, err := dialer.Dial("tcp", s.address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	first, download := s.request("/templates/x", 1, timeLimit)
	second, small := s.request("/browse/x", 2, timeLimit)
	sent := time.Now()
	s.record.printf("send     %s, %s from %s", first, second, s.from)
	if _, err := io.WriteString(c, download+small); err != nil {
		return nil, err
	}
	closing := make(chan struct{})
	go func() {
		select {
		case <-time.After(later):
		case <-closing:
			return
		}
		third, text := s.request("/browse/x", 3, timeLimit)
		s.record.printf("send     %s from %s", third, s.from)
		_, _ = io.WriteString(c, text)
	}()
	results := []result{{id: first, sent: sent}, {id: second, sent: sent}}
	reader := bufio.NewReader(paced{c, s.perSecond})
	for i := range results {
		err := readAnswer(reader, results[i].id, func() { close(closing) })
		results[i].ended, results[i].err, results[i].complete = time.Now(), err, err == nil
		s.record.printf("answer   %s after %.3f s: error %v", results[i].id, time.Since(sent).Seconds(), err)
		if err != nil {
			for j := i + 1; j < len(results); j++ {
				results[j].ended, results[j].err = time.Now(), err
			}
			break
		}
	}
	return results, nil
}

var errOtherAnswer = errors.New("the answer is of another request, or a refusal")

// readAnswer reads an answer. It calls closing if the answer says that it is the last one.
func readAnswer(reader *bufio.Reader, id string, closing func()) error {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	if response.Close {
		closing()
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.Header.Get("Request-Id") != id {
		return errOtherAnswer
	}
	return nil
}

// slowDownloads lets requesters with slow lines download from a machine that is stopped.
func slowDownloads(r *record, binary string, trouble bool) error {
	const (
		requesters  = 20
		downloadLen = 540_000
		perSecond   = 125_000
		timeLimit   = 5 * time.Second
		sendAt      = 1500 * time.Millisecond
		furtherAt   = 5700*time.Millisecond - sendAt
		grace       = 6 * time.Second
	)
	d, err := newDeployment(r, binary, 3)
	if err != nil {
		return err
	}
	defer d.stop()
	work := func(*http.Request) time.Duration { return 150 * time.Millisecond }
	body := strings.Repeat("0123456789", downloadLen/10)
	for i := range 6 {
		service := []string{"patterns", "catalogue"}[i%2]
		s, err := d.addServer(service, fmt.Sprintf("i-%d", i+1), d.zones[i%3], 12, work)
		if err != nil {
			return err
		}
		if service == "patterns" {
			s.answer = func(c net.Conn, _ *http.Request, head string) error {
				_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
				return err
			}
		}
	}
	templates := route{Hostname: "a.example", PathPrefix: "/templates/", Kind: "download", TimeoutMs: 5000, TargetLatencyMs: 2000, Priority: 2, MaxAttempts: 2, Service: "patterns"}
	browse := route{Hostname: "a.example", PathPrefix: "/browse/", Kind: "safe", TimeoutMs: 5000, TargetLatencyMs: 1000, Priority: 2, MaxAttempts: 2, Service: "catalogue"}
	d.configure(map[string]route{"templates": templates, "browse": browse})
	if err := d.startGateways(); err != nil {
		return err
	}
	g := d.gateways[1]
	stopped := time.Now()
	if trouble {
		g.signal(syscall.SIGTERM)
		r.printf("SIGTERM to %s", g.name)
		time.AfterFunc(grace, func() { g.signal(syscall.SIGKILL) })
	}
	time.Sleep(sendAt)
	var mu sync.Mutex
	var results []result
	var pending sync.WaitGroup
	for i := range requesters {
		pending.Go(func() {
			s := &slowReader{record: r, number: i, address: g.address(frontendPort), from: fmt.Sprintf("%s.%d", d.prefix, 200+i), perSecond: perSecond}
			list, err := s.run(timeLimit, furtherAt)
			if err != nil {
				r.printf("requester %d: %v", i, err)
			}
			mu.Lock()
			defer mu.Unlock()
			results = append(results, list...)
		})
		time.Sleep(5 * time.Millisecond)
	}
	pending.Wait()
	lost, complete, refused := 0, 0, 0
	for _, a := range results {
		passedOn := false
		for _, s := range d.servers {
			passedOn = passedOn || s.ran(a.id)
		}
		switch {
		case a.complete:
			complete++
		case errors.Is(a.err, errOtherAnswer):
			refused++
		case passedOn && a.ended.Sub(a.sent) < timeLimit && a.ended.Sub(stopped) < grace+time.Second:
			lost++
		}
	}
	r.summary("%d requests: %d answered, %d refused, %d passed on to an upstream and lost", len(results), complete, refused, lost)
	if lost > 0 {
		return fmt.Errorf("%w: %d requests were passed on and lost", errBroken, lost)
	}
	return nil
}
