package merger

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/verifier"
)

// record is an object with the number of the ticket that set its state.
type record[T any] struct {
	number   verbenastand.TicketNumber
	object   T
	checksum uint64
}

// supersedes reports whether r replaces old. If two states have the same ticket
// number, the higher checksum wins, so that all hosts choose the same one.
func (r record[T]) supersedes(old record[T]) bool {
	if r.number != old.number {
		return r.number > old.number
	}
	return r.checksum > old.checksum
}

// Result describes the effect of a merge.
type Result struct {
	changed   bool
	conflicts int
}

// Changed reports whether the current configuration changed.
func (r Result) Changed() bool { return r.changed }

// Conflicts returns how many objects had the same ticket number as their current
// state but different content.
func (r Result) Conflicts() int { return r.conflicts }

// Config configures a Merger.
type Config struct {
	// OnChange is called after each change of the configuration, in order.
	OnChange func(*verbenastand.Configuration)
}

// Merger holds the newest state of each object of all received tickets. It
// implements verbenastand.ConfigurationSource.
type Merger struct {
	onChange func(*verbenastand.Configuration)
	current  atomic.Pointer[verbenastand.Configuration]

	mu        sync.Mutex
	number    verbenastand.TicketNumber
	services  map[verbenastand.ServiceName]record[ServiceObject]
	servers   map[verbenastand.ServerID]record[ServerObject]
	conflicts uint64
	invalid   uint64
}

// NewMerger returns a merger without tickets.
func NewMerger(c Config) *Merger {
	m := &Merger{
		onChange: c.OnChange,
		services: make(map[verbenastand.ServiceName]record[ServiceObject]),
		servers:  make(map[verbenastand.ServerID]record[ServerObject]),
	}
	m.current.Store(verbenastand.NewConfiguration(verbenastand.ConfigurationConfig{}))
	return m
}

// Configuration returns the current configuration.
func (m *Merger) Configuration() *verbenastand.Configuration { return m.current.Load() }

// Conflicts returns the total numbers of conflicting objects and invalid tickets.
func (m *Merger) Conflicts() (conflicts, invalid uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.conflicts, m.invalid
}

// MergeEncoded decodes and merges tickets. Invalid tickets are skipped and the
// first one's error is returned; the valid ones still take effect.
func (m *Merger) MergeEncoded(encoded [][]byte) (Result, error) {
	var tickets []Ticket
	var firstErr error
	var invalid uint64
	for _, data := range encoded {
		t, err := Decode(data)
		if err == nil {
			tickets = append(tickets, t)
			continue
		}
		invalid++
		if firstErr == nil {
			firstErr = err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.invalid += invalid
	return m.mergeLocked(tickets), firstErr
}

// Merge merges tickets that are known to be valid.
func (m *Merger) Merge(tickets ...Ticket) Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mergeLocked(tickets)
}

func (m *Merger) mergeLocked(tickets []Ticket) Result {
	var result Result
	for _, t := range tickets {
		m.number = max(m.number, t.Number)
		for _, s := range t.Services {
			mergeObject(m.services, s.Name, newRecord(t.Number, s), &result)
		}
		for _, s := range t.Servers {
			mergeObject(m.servers, s.ID, newRecord(t.Number, s), &result)
		}
	}
	m.conflicts += uint64(result.conflicts)
	if m.number > m.current.Load().Number() {
		result.changed = true
	}
	if !result.changed {
		return result
	}
	updated := m.build()
	verifier.Assert(updated.Number() >= m.current.Load().Number(), "the ticket number never decreases")
	m.current.Store(updated)
	if m.onChange != nil {
		m.onChange(updated)
	}
	return result
}

func newRecord[T any](n verbenastand.TicketNumber, object T) record[T] {
	data, err := json.Marshal(object)
	if err != nil {
		panic(fmt.Sprintf("merger: encode object: %v", err))
	}
	return record[T]{number: n, object: object, checksum: xxhash.Sum64(data)}
}

func mergeObject[K comparable, T any](objects map[K]record[T], key K, r record[T], result *Result) {
	old, exists := objects[key]
	if exists && old.number == r.number && old.checksum != r.checksum {
		result.conflicts++
	}
	if exists && !r.supersedes(old) {
		return
	}
	objects[key] = r
	result.changed = true
}

// build returns the merged configuration. The digest is a sum over all objects,
// so that it does not depend on their order.
func (m *Merger) build() *verbenastand.Configuration {
	c := verbenastand.ConfigurationConfig{
		Number:   m.number,
		Services: make(map[verbenastand.ServiceName]verbenastand.Service, len(m.services)),
		Servers:  make(map[verbenastand.ServiceName][]verbenastand.Server),
	}
	for _, r := range m.services {
		c.Digest += r.checksum * (2*uint64(r.number) + 1)
		if !r.object.Deleted {
			c.Services[r.object.Name] = r.object.toService()
		}
	}
	for _, r := range m.servers {
		c.Digest += r.checksum * (2*uint64(r.number) + 1)
		if r.object.Deleted {
			continue
		}
		server := r.object.toServer(r.number)
		c.Servers[server.Service()] = append(c.Servers[server.Service()], server)
	}
	for _, servers := range c.Servers {
		slices.SortFunc(servers, func(a, b verbenastand.Server) int { return cmp.Compare(a.ID(), b.ID()) })
	}
	return verbenastand.NewConfiguration(c)
}

// Since returns the objects with a ticket number above after, encoded as tickets
// in ascending order. A ticket lacks the objects that a later one has superseded.
func (m *Merger) Since(after verbenastand.TicketNumber) ([][]byte, error) {
	m.mu.Lock()
	byNumber := make(map[verbenastand.TicketNumber]*Ticket)
	ticket := func(n verbenastand.TicketNumber) *Ticket {
		if byNumber[n] == nil {
			byNumber[n] = &Ticket{Number: n}
		}
		return byNumber[n]
	}
	for _, r := range m.services {
		if r.number > after {
			t := ticket(r.number)
			t.Services = append(t.Services, r.object)
		}
	}
	for _, r := range m.servers {
		if r.number > after {
			t := ticket(r.number)
			t.Servers = append(t.Servers, r.object)
		}
	}
	if m.number > after {
		ticket(m.number)
	}
	m.mu.Unlock()
	var encoded [][]byte
	for _, n := range slices.Sorted(maps.Keys(byNumber)) {
		data, err := byNumber[n].Encode()
		if err != nil {
			return nil, err
		}
		encoded = append(encoded, data)
	}
	return encoded, nil
}
