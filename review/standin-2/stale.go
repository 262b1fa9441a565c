package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// unreadable returns bytes of a length that are no entry.
func unreadable(length int) []byte {
	random := rand.NewChaCha8([32]byte{7})
	data := make([]byte, length)
	_, _ = random.Read(data)
	data[0] = 0xff
	return data
}

// staleTable lets another writer write unreadable entries beside those of the upstreams, each
// within valueBytes. A moment later the operator moves a route to another service, and adds one.
func staleTable(r *record, binary string, trouble bool) error {
	const (
		entries     = 16
		valueBytes  = 1 << 20
		configApply = 2 * time.Second
		length      = 30 * time.Second
	)
	d, err := newDeployment(r, binary, 3)
	if err != nil {
		return err
	}
	defer d.stop()
	work := func(*http.Request) time.Duration { return 40 * time.Millisecond }
	for i := range 8 {
		service := []string{"bookings", "reservations"}[i%2]
		if _, err := d.addServer(service, fmt.Sprintf("i-%d", i+1), d.zones[i%3], 6, work); err != nil {
			return err
		}
	}
	reserve := route{
		Hostname: "a.example", PathPrefix: "/reserve/", Kind: "unsafe", TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 1, MaxAttempts: 2, Service: "bookings",
	}
	d.configure(map[string]route{"reserve": reserve})
	if err := d.startGateways(); err != nil {
		return err
	}
	if trouble {
		for i := range entries {
			d.store.putBytes(fmt.Sprintf("servers/other-%d", i), unreadable(valueBytes))
		}
		r.printf("another writer has written %d entries", entries)
	}
	time.Sleep(500 * time.Millisecond)
	reserve.Service = "reservations"
	added := reserve
	added.PathPrefix = "/pay/"
	d.configure(map[string]route{"reserve": reserve, "pay": added})
	confirmed := time.Now()
	r.printf("the store has confirmed version r%d", d.version)
	var mu sync.Mutex
	var answers []answer
	var pending sync.WaitGroup
	number := 0
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, path := range []string{"/reserve/x", "/pay/x"} {
			number++
			q := request{
				id: fmt.Sprintf("%s-%d", path[1:4], number), method: http.MethodPost, host: "a.example", path: path, body: []byte("deposit"),
				deadline: 1500 * time.Millisecond, from: d.prefix + ".200", patience: 2 * time.Second,
			}
			front := d.gateways[number/2%3].address(frontendPort)
			pending.Go(func() {
				a := send(r, front, q)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}
	}
	pending.Wait()
	old, refused, due := 0, 0, 0
	var last time.Duration
	for _, a := range answers {
		if a.sent.Sub(confirmed) <= configApply {
			continue
		}
		due++
		outdated := a.status == http.StatusNotFound
		if outdated {
			refused++
		}
		for _, s := range d.servers {
			if s.service == "bookings" && s.ran(a.id) {
				old++
				outdated = true
			}
		}
		if outdated {
			last = max(last, a.sent.Sub(confirmed))
		}
	}
	for _, g := range d.gateways {
		r.summary("%s: running %v, at most %.0f MB of %d MB", g.name, g.running(), g.memory("VmHWM"), d.memoryMB)
	}
	r.summary("of %d requests sent later than %v after the confirmation, the old service ran %d and %d of the new route got 404; the last was sent %.1f s after the confirmation",
		due, configApply, old, refused, last.Seconds())
	if old+refused > 0 {
		return fmt.Errorf("%w: %d requests were handled as only the older version allows", errBroken, old+refused)
	}
	return nil
}
