package follower

import (
	"context"

	verbenastand "github.com/verbenastand/verbenastand"
)

// startServers is the number of servers of each service that a host knows in its own availability
// zone before it serves requests without a complete list. A request may need two or three, and
// the hosts that start at the same moment all know the same ones.
const startServers = 4

// Bootstrap requests the state from the store and from the peers in parallel. It returns once
// enough is known to serve requests, all requests have ended, or ctx ends. The peers may know
// more than the store, so their responses are used also after that. The list that has begun is
// completed, until the deadline of ctx.
func (f *Follower) Bootstrap(ctx context.Context, peers []verbenastand.Host) {
	listCtx, cancel := listContext(ctx)
	finished := make(chan struct{}, len(peers)+1)
	f.firstList = make(chan struct{})
	for _, p := range peers {
		go func() {
			f.pull(context.WithoutCancel(ctx), p)
			finished <- struct{}{}
		}()
	}
	go func() {
		defer cancel()
		f.listOnce(listCtx)
		close(f.firstList)
		finished <- struct{}{}
	}()
	for range len(peers) + 1 {
		select {
		case <-finished:
		case <-f.serviceable:
		case <-ctx.Done():
			cancel()
			return
		}
		if f.Serviceable() {
			break
		}
	}
	if f.Position().Revision != 0 {
		// A peer has sent everything.
		cancel()
	}
}

// listContext returns a context for a list that goes on when ctx ends, until its deadline if it
// has one.
func listContext(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

// listOnce lists all objects. It retries until a call succeeds, a peer has sent them, or ctx ends.
func (f *Follower) listOnce(ctx context.Context) {
	for ctx.Err() == nil {
		_, err := f.list(ctx, true)
		if err == nil || f.Position().Revision != 0 {
			return
		}
		f.config.OnEvent(Event{Name: "storeCallFailed", Staleness: f.Staleness(), Err: err})
		sleep(ctx, minBackoff)
	}
}

// awaitFirstList waits for the end of the list with which this host has started: another one would
// delay it on a slow link.
func (f *Follower) awaitFirstList(ctx context.Context) {
	if f.firstList == nil {
		return
	}
	select {
	case <-f.firstList:
	case <-ctx.Done():
	}
}

// Serviceable reports whether enough is known to serve requests: the route table and all other
// objects; or, while the first list arrives, the route table, all evacuations, and some servers of
// each service in the availability zone of this host.
func (f *Follower) Serviceable() bool {
	select {
	case <-f.serviceable:
		return true
	default:
		return false
	}
}

// becomesServiceableLocked reports whether enough is known to serve requests for the first time.
func (f *Follower) becomesServiceableLocked() bool {
	return !f.Serviceable() && f.table != nil && (f.revision != 0 || f.servesByPartsLocked())
}

// servesByPartsLocked reports whether parts of a list are enough to serve requests.
func (f *Follower) servesByPartsLocked() bool {
	return f.table != nil && f.routingKnown && f.knowsServersLocked()
}

// finish reports events and publishes the view if it has changed, or if requests may be served
// from now on: these must find what is known.
func (f *Follower) finish(changed, serviceable bool, events []Event) {
	for _, e := range events {
		f.config.OnEvent(e)
	}
	if changed || serviceable {
		f.publish()
	}
	if serviceable {
		f.closeServiceable.Do(func() { close(f.serviceable) })
	}
}

// knowsServersLocked reports whether some servers in the availability zone of this host are known
// of each service that a route names. Routes that do not allow its region need others.
func (f *Follower) knowsServersLocked() bool {
	for _, o := range f.evacuations.objects {
		if o.zone() == f.config.Self.Zone() {
			return false
		}
	}
	known := make(map[verbenastand.ServiceName]int)
	for _, o := range f.objects {
		if r := o.change.Registration; r != nil && r.Zone() == f.config.Self.Zone() && r.State() == verbenastand.ServerActive {
			known[r.Service()]++
		}
	}
	for _, r := range f.table.Routes() {
		if !r.Regions().Allows(f.config.Regions.Of(f.config.Self.Zone())) {
			return false
		}
		for _, w := range r.Split() {
			if w.Weight() > 0 && known[w.Service()] < startServers {
				return false
			}
		}
	}
	return true
}

// applyPart uses a part of a list, unless this host knows all objects already. The host has no
// position while it knows only parts, so that it sends them to no peer and confirms nothing.
func (f *Follower) applyPart(p verbenastand.Part) {
	f.mu.Lock()
	if f.revision != 0 {
		f.mu.Unlock()
		return
	}
	if p.First {
		// What is known may be of a list that has failed, before the store has returned from an
		// older copy.
		f.enterEraLocked(batch{era: f.era})
		f.routingKnown = false
	}
	f.entering = false
	f.beginBatchLocked(batch{})
	var events []Event
	changed := false
	for _, c := range p.Changes {
		updated, event := f.applyLocked(c)
		changed = changed || updated
		if event.Name != "" {
			events = append(events, event)
		}
	}
	// Which of too many evacuations are kept depends on the servers of all zones.
	f.routingKnown = p.Routing && len(f.evacuations.objects) < maxEvacuations
	serviceable := f.becomesServiceableLocked()
	f.mu.Unlock()
	f.finish(changed, serviceable, events)
}
