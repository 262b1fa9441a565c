package detector

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// startVerificationLocked probes the servers of a service unless that was done recently.
func (d *Detector) startVerificationLocked(n verbenastand.ServiceName, s *service, servers []verbenastand.Registration) {
	recent := d.config.Clock.Now().Sub(s.verifiedAt) < verifyInterval
	if len(servers) == 0 || s.verification != nil || recent || !s.unreachedAt.IsZero() {
		return
	}
	s.verification = make(chan struct{})
	go d.verify(n, s, s.sample(d.preferIncluded(servers), maxProbes), s.connections)
}

// sample returns the servers to probe in a random order, those first that have not
// failed: one of them may be new.
func (s *service) sample(servers []verbenastand.Registration, limit int) []verbenastand.Registration {
	shuffle(servers)
	var sample, failed []verbenastand.Registration
	for _, r := range servers {
		if _, found := s.failed[r.Server()]; found {
			failed = append(failed, r)
			continue
		}
		sample = append(sample, r)
	}
	sample = append(sample, failed...)
	return sample[:min(limit, len(sample))]
}

// anyUntried reports whether a server has not failed.
func (s *service) anyUntried(servers []verbenastand.Registration) bool {
	return slices.ContainsFunc(servers, func(r verbenastand.Registration) bool {
		_, failed := s.failed[r.Server()]
		return !failed
	})
}

// verify probes servers of a service that may not be reached.
func (d *Detector) verify(n verbenastand.ServiceName, s *service, sample []verbenastand.Registration, connections uint64) {
	first := min(firstProbes, len(sample))
	reached := d.probe(sample[:first]) || (len(sample) > first && d.probe(sample[first:]))
	d.mu.Lock()
	defer d.mu.Unlock()
	close(s.verification)
	s.verification = nil
	s.verifiedAt = d.config.Clock.Now()
	for _, r := range sample {
		s.failed[r.Server()] = struct{}{}
	}
	if reached || s.connections != connections {
		clear(s.failed)
		return
	}
	s.unreachedAt = s.verifiedAt
	s.retry, s.retryAt = minRetry, s.verifiedAt.Add(minRetry)
	d.config.OnChange(Change{Service: n, Failed: len(s.failed)})
	d.suspectOthersLocked(n)
}

// suspectOthersLocked probes the other services, since a partition may concern them too.
func (d *Detector) suspectOthersLocked(n verbenastand.ServiceName) {
	v := d.config.View()
	for _, other := range v.ServiceNames() {
		if other != n {
			d.startVerificationLocked(other, d.serviceLocked(other), active(v, other))
		}
	}
}

func shuffle(servers []verbenastand.Registration) {
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
}

// probe probes servers concurrently and reports whether one has responded.
func (d *Detector) probe(servers []verbenastand.Registration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	results := make(chan error, len(servers))
	for _, r := range servers {
		go func() { results <- d.config.Probe(ctx, r) }()
	}
	for range servers {
		if <-results == nil {
			return true
		}
	}
	return false
}

// Tick probes the services that are not reached. The first response ends the search.
func (d *Detector) Tick(now time.Time) {
	v := d.config.View()
	d.mu.Lock()
	defer d.mu.Unlock()
	for n, s := range d.services {
		if s.unreachedAt.IsZero() {
			continue
		}
		servers := active(v, n)
		if len(servers) == 0 {
			delete(d.services, n)
			continue
		}
		if now.Before(s.retryAt) {
			continue
		}
		s.retry = min(2*s.retry, maxRetry)
		s.retryAt = now.Add(s.retry + probeTimeout)
		servers = d.preferIncluded(servers)
		if !s.anyUntried(servers) {
			clear(s.failed)
		}
		go d.retry(n, s, s.sample(servers, firstProbes))
	}
}

// retry probes servers of a service that is not reached. Those that do not respond come last
// in the next samples, so that all are probed in turn.
func (d *Detector) retry(n verbenastand.ServiceName, s *service, servers []verbenastand.Registration) {
	reached := d.probe(servers)
	d.mu.Lock()
	defer d.mu.Unlock()
	if reached {
		d.respondedLocked(n, s, true)
		return
	}
	for _, r := range servers {
		s.failed[r.Server()] = struct{}{}
	}
}
