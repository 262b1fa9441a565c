package follower

import (
	"context"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

// directRelay delivers a message to a follower at once.
type directRelay map[verbenastand.HostID]*Follower

func (r directRelay) Relay(_ context.Context, peer verbenastand.Host, message []byte) ([]byte, error) {
	return r[peer.ID()].HandleMessage(message)
}

// history is a store, the servers that write to it, and hosts that learn of both in any
// order.
type history struct {
	t     *rapid.T
	store *fakeStore
	hosts []verbenastand.Host
	// followers are those of hosts.
	followers directRelay
	clock     *fake.Clock
	version   verbenastand.TableVersion
	servers   map[string]verbenastand.RegistrationConfig
	// processes are the start times of the last process of each server.
	processes map[string]int64
	// late holds messages that have been sent and not delivered.
	late [][]byte
	// used is the highest table version in use at each host.
	used map[verbenastand.HostID]verbenastand.TableVersion
	// seen are the servers that a host has known in their last process, left those that
	// it has stopped using since that process left.
	left, seen map[verbenastand.HostID]map[string]bool
}

func newHistory(t *rapid.T) *history {
	h := &history{
		t: t, store: newFakeStore(), followers: make(directRelay), clock: fake.NewClock(),
		servers: make(map[string]verbenastand.RegistrationConfig), processes: make(map[string]int64), used: make(map[verbenastand.HostID]verbenastand.TableVersion),
		left: make(map[verbenastand.HostID]map[string]bool), seen: make(map[verbenastand.HostID]map[string]bool),
	}
	h.store.era = 1
	for i := range 3 {
		id := verbenastand.HostID(fmt.Sprintf("h%d", i))
		h.hosts = append(h.hosts, verbenastand.NewHost(verbenastand.HostConfig{Instance: verbenastand.NewInstance(id, 1)}))
		h.start(h.hosts[i])
	}
	h.writeTable()
	return h
}

// noHosts lists no hosts, so that followers broadcast nothing by themselves.
type noHosts struct{}

func (noHosts) Hosts() []verbenastand.Host { return nil }

func (h *history) start(host verbenastand.Host) {
	h.followers[host.ID()] = NewFollower(Config{
		Clock: h.clock, Store: storeClient{h.store, host.ID()}, Relay: h.followers, Membership: noHosts{}, Self: host,
		OnView: func(*verbenastand.View) {},
	})
	h.used[host.ID()] = 0
	h.left[host.ID()], h.seen[host.ID()] = make(map[string]bool), make(map[string]bool)
}

func (h *history) draw(label string) *Follower { return h.followers[h.drawHost(label).ID()] }

func (h *history) drawHost(label string) verbenastand.Host {
	return rapid.SampledFrom(h.hosts).Draw(h.t, label)
}

func (h *history) drawServer() string {
	return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(h.t, "server")
}

func (h *history) writeTable() {
	h.version++
	h.store.write(func(r verbenastand.Revision) verbenastand.Change { return table(r, h.version) })
}

func (h *history) writeServer(id string, change func(*verbenastand.RegistrationConfig)) {
	c := h.servers[id]
	change(&c)
	c.Server, c.Service, c.Zone, c.Address, c.Slots = verbenastand.ServerID(id), "s", "z", "10.0.0.1:80", 6
	c.Sequence++
	h.servers[id] = c
	registration := verbenastand.NewRegistration(c)
	h.store.write(func(r verbenastand.Revision) verbenastand.Change {
		return verbenastand.Change{Key: "servers/" + id, Revision: r, Registration: &registration}
	})
	h.processes[id] = c.StartTime
	for _, host := range h.hosts {
		delete(h.left[host.ID()], id)
		if c.Sequence == 1 {
			delete(h.seen[host.ID()], id)
		}
	}
}

// join starts a server, or renews the registration of one that runs.
func (h *history) join(id string) {
	_, running := h.servers[id]
	h.writeServer(id, func(c *verbenastand.RegistrationConfig) {
		if !running {
			c.StartTime = h.processes[id] + 1
		}
	})
}

func (h *history) drain(id string) {
	if _, running := h.servers[id]; running {
		h.writeServer(id, func(c *verbenastand.RegistrationConfig) { c.State = verbenastand.ServerDraining })
	}
}

func (h *history) leave(id string) {
	if _, running := h.servers[id]; !running {
		return
	}
	delete(h.servers, id)
	h.store.write(func(r verbenastand.Revision) verbenastand.Change { return removed(id, r) })
}

// read lets a host read the store: changes if it can, or else everything.
func (h *history) read(f *Follower) {
	ctx := context.Background()
	after := f.Position()
	if f.mustList() || after.Era != h.store.era {
		_, _ = f.list(ctx, false)
		return
	}
	changes, position, err := f.config.Store.Watch(ctx, after.Revision, 0)
	_, _ = f.handleWatchResult(ctx, after, watchResult{changes, position, err})
}

// send sends what one host knows to another, to be delivered now or later.
func (h *history) send(from, to *Follower) {
	data, err := encode(from.changesSince(to.Position()), h.clock.Now())
	if err != nil {
		h.t.Fatal(err)
	}
	h.late = append(h.late, data)
}

func (h *history) deliver() {
	if len(h.late) == 0 {
		return
	}
	if _, err := h.draw("receiver").HandleMessage(rapid.SampledFrom(h.late).Draw(h.t, "message")); err != nil {
		h.t.Fatal(err)
	}
}

func (h *history) exchange(from *Follower, to verbenastand.Host) {
	if from.config.Self.ID() != to.ID() {
		f := from.changesSince(from.Position())
		_, _ = from.exchange(context.Background(), f, subtree{root: to})
	}
}

func (h *history) step() {
	switch rapid.IntRange(0, 11).Draw(h.t, "step") {
	case 0:
		h.writeTable()
	case 1, 2:
		h.join(h.drawServer())
	case 3:
		h.drain(h.drawServer())
	case 4:
		h.leave(h.drawServer())
	case 5:
		newest := int(h.store.newestRevision())
		h.store.restore(verbenastand.Revision(rapid.IntRange(max(2, newest-4), newest).Draw(h.t, "copy")))
	case 6, 7:
		h.read(h.draw("reader"))
	case 8:
		h.send(h.draw("from"), h.draw("to"))
	case 9:
		h.deliver()
	case 10:
		h.exchange(h.draw("from"), h.drawHost("to"))
	case 11:
		h.start(h.drawHost("restarted"))
	}
}

// check checks that no host goes back: to an older table, or to a server that it has
// stopped using because it left.
func (h *history) check() {
	for _, host := range h.hosts {
		id, f := host.ID(), h.followers[host.ID()]
		if t := f.View().Table(); t != nil {
			if t.Version() < h.used[id] {
				h.t.Fatalf("host %s went back from table %d to %d", id, h.used[id], t.Version())
			}
			h.used[id] = t.Version()
		}
		inView := make(map[string]verbenastand.Registration)
		for _, r := range f.View().Servers("s") {
			if r.StartTime() == h.processes[string(r.Server())] {
				inView[string(r.Server())] = r
			}
		}
		for _, server := range []string{"a", "b", "c"} {
			_, running := h.servers[server]
			r, known := inView[server]
			if known {
				h.seen[id][server] = true
			}
			if !running && !known && h.seen[id][server] {
				h.left[id][server] = true
			}
			if h.left[id][server] && known && r.State() == verbenastand.ServerActive {
				h.t.Fatalf("host %s uses server %s again, which has left", id, server)
			}
		}
	}
}

// TestHostsConvergeThroughReturnsOfTheStore: whatever is written, lost, read and sent in
// whichever order, no host goes back, and all agree with the operators and the servers
// once what was lost is written again.
func TestHostsConvergeThroughReturnsOfTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			h.step()
			h.check()
		}
		h.store.write(func(r verbenastand.Revision) verbenastand.Change { return table(r, h.version) })
		for _, server := range []string{"a", "b", "c"} {
			if _, running := h.servers[server]; running {
				h.writeServer(server, func(*verbenastand.RegistrationConfig) {})
				continue
			}
			h.store.write(func(r verbenastand.Revision) verbenastand.Change { return removed(server, r) })
		}
		want := make(map[string]verbenastand.ServerState)
		for server, c := range h.servers {
			want[server] = c.State
		}
		for range 2 {
			for _, host := range h.hosts {
				h.read(h.followers[host.ID()])
				h.exchange(h.followers[host.ID()], h.hosts[0])
				h.check()
			}
		}
		for id, f := range h.followers {
			f.ExpireRegistrations(h.clock.Now().Add(reregistrationGrace))
			if !maps.Equal(states(f), want) || f.View().Table().Version() != h.version {
				t.Fatalf("host %s: %v and table %d, want %v and %d", id, states(f), f.View().Table().Version(), want, h.version)
			}
		}
	})
}
