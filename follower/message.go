package follower

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	messageVersion = 1
	// MaxMessageBytes bounds a message between hosts.
	MaxMessageBytes = 16 << 20
	maxChanges      = 100_000
	// compressThreshold is the size from which a message is compressed; shorter ones
	// fit into a few packets uncompressed.
	compressThreshold = 4 << 10
)

// message carries changes to a peer, or requests them from it.
type message struct {
	Version int `cbor:"1,keyasint"`
	// Pull is set if the sender requests the changes after After.
	Pull      bool           `cbor:"2,keyasint,omitempty"`
	After     uint64         `cbor:"3,keyasint,omitempty"`
	Full      bool           `cbor:"4,keyasint,omitempty"`
	Revision  uint64         `cbor:"5,keyasint,omitempty"`
	Staleness time.Duration  `cbor:"6,keyasint,omitempty"`
	Changes   []changeRecord `cbor:"7,keyasint,omitempty"`
	// Compressed is a compressed message that replaces this one.
	Compressed []byte `cbor:"9,keyasint,omitempty"`
	// ForwardTo are the hosts to which the receiver forwards the changes. Key 8 had
	// another meaning in earlier versions.
	ForwardTo []string `cbor:"10,keyasint,omitempty"`
	// Era is the era of all revisions of the message.
	Era uint64 `cbor:"11,keyasint,omitempty"`
	// Held are states that the sender uses although the store shows older ones, and
	// HeldDigest identifies all of them.
	Held       []heldRecord `cbor:"12,keyasint,omitempty"`
	HeldDigest uint64       `cbor:"13,keyasint,omitempty"`
	// Skipped are, in a response, the hosts of ForwardTo that the receiver does not know.
	Skipped []string `cbor:"14,keyasint,omitempty"`
	// Retained are evacuations that the sender retains although the store does not have them.
	// Hosts of earlier versions ignore them.
	Retained []retainedRecord `cbor:"15,keyasint,omitempty"`
}

type heldRecord struct {
	Change changeRecord        `cbor:"1,keyasint"`
	Last   *registrationRecord `cbor:"2,keyasint,omitempty"`
}

func (m message) position() verbenastand.Position {
	return verbenastand.Position{Era: verbenastand.Era(m.Era), Revision: verbenastand.Revision(m.Revision)}
}

type changeRecord struct {
	Key          string              `cbor:"1,keyasint"`
	Revision     uint64              `cbor:"2,keyasint"`
	Registration *registrationRecord `cbor:"3,keyasint,omitempty"`
	Table        *tableRecord        `cbor:"4,keyasint,omitempty"`
	Err          string              `cbor:"5,keyasint,omitempty"`
	Warning      string              `cbor:"6,keyasint,omitempty"`
}

type registrationRecord struct {
	Server    string        `cbor:"1,keyasint"`
	StartTime int64         `cbor:"2,keyasint,omitempty"`
	Sequence  uint64        `cbor:"3,keyasint,omitempty"`
	Service   string        `cbor:"4,keyasint"`
	Zone      string        `cbor:"5,keyasint"`
	Address   string        `cbor:"6,keyasint"`
	Version   string        `cbor:"7,keyasint,omitempty"`
	Slots     int           `cbor:"8,keyasint"`
	State     int           `cbor:"9,keyasint,omitempty"`
	Warmup    time.Duration `cbor:"10,keyasint,omitempty"`
}

type tableRecord struct {
	Version  uint64                   `cbor:"1,keyasint"`
	Routes   []routeRecord            `cbor:"2,keyasint"`
	Services map[string]serviceRecord `cbor:"3,keyasint"`
	Limits   limitsRecord             `cbor:"4,keyasint"`
}

type routeRecord struct {
	Name          string                  `cbor:"1,keyasint"`
	HostName      string                  `cbor:"2,keyasint"`
	PathPrefix    string                  `cbor:"3,keyasint"`
	RetrySafety   int                     `cbor:"4,keyasint,omitempty"`
	Timeout       time.Duration           `cbor:"5,keyasint"`
	Target        time.Duration           `cbor:"6,keyasint"`
	MaxAttempts   int                     `cbor:"7,keyasint"`
	PriorityLevel int                     `cbor:"8,keyasint,omitempty"`
	Split         []weightedServiceRecord `cbor:"9,keyasint"`
	// Restricted is set if the requests may run in Regions only. Hosts of earlier versions drop
	// both from the tables that they forward.
	Restricted bool                  `cbor:"10,keyasint,omitempty"`
	Regions    []verbenastand.Region `cbor:"11,keyasint,omitempty"`
}

type weightedServiceRecord struct {
	Service string `cbor:"1,keyasint"`
	Weight  int    `cbor:"2,keyasint"`
}

type serviceRecord struct {
	HealthPath     string `cbor:"1,keyasint"`
	MaxConnections int    `cbor:"2,keyasint"`
	// WarmupRate is the limit of a server that is not warm. Hosts of earlier versions drop
	// it from the tables that they forward.
	WarmupRate float64 `cbor:"3,keyasint,omitempty"`
}

type limitsRecord struct {
	HeaderBytes   int           `cbor:"1,keyasint"`
	BodyBytes     int64         `cbor:"2,keyasint"`
	HeaderTimeout time.Duration `cbor:"3,keyasint"`
	IdleTimeout   time.Duration `cbor:"4,keyasint"`
}

// encode encodes a batch, with its staleness at the given time.
func encode(b batch, now time.Time) ([]byte, error) { return encodeBatch(messageOf(b, now), b) }

// messageOf returns the message of a batch without its changes, which are encoded once for
// all peers.
func messageOf(b batch, now time.Time) message {
	m := message{
		Version: messageVersion, After: uint64(b.after), Full: b.full, Era: uint64(b.era), Revision: uint64(b.revision),
		Staleness: unknownStaleness, Retained: b.retained,
	}
	if !b.confirmedAt.IsZero() {
		m.Staleness = max(0, now.Sub(b.confirmedAt))
	}
	for _, id := range b.forwardTo {
		m.ForwardTo = append(m.ForwardTo, string(id))
	}
	for _, h := range b.held {
		m.Held = append(m.Held, heldRecordOf(h))
	}
	return m
}

// encodeMessage encodes a message, compressed if it is large.
func encodeMessage(m message) ([]byte, error) {
	data, err := marshal(m)
	if err != nil || len(data) < compressThreshold {
		return data, err
	}
	compressed, err := compress(data)
	if err != nil {
		return nil, err
	}
	return marshal(message{Version: messageVersion, Compressed: compressed})
}

// encodeBatch encodes the message of a batch with its changes, compressed if they are large.
func encodeBatch(m message, b batch) ([]byte, error) {
	if len(b.changes) == 0 {
		return encodeMessage(m)
	}
	changes := b.encoded
	if changes == nil {
		changes = &encodedChanges{}
	}
	changes.once.Do(func() { changes.encode(b.changes) })
	if changes.err != nil {
		return nil, changes.err
	}
	head, err := marshal(m)
	if err != nil {
		return nil, err
	}
	if head, err = extendMap(head); err != nil {
		return nil, err
	}
	if changes.compressed == nil {
		return append(head, changes.plain...), nil
	}
	return marshal(message{Version: messageVersion, Compressed: append(storedBlocks(head), changes.compressed...)})
}

func marshal(m message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("follower: encode message: %w", err)
	}
	return data, nil
}

func decode(data []byte) (message, error) {
	var m message
	if len(data) > MaxMessageBytes {
		return m, fmt.Errorf("follower: message of %d bytes exceeds %d", len(data), MaxMessageBytes)
	}
	if err := cbor.Unmarshal(data, &m); err != nil {
		return m, fmt.Errorf("follower: decode message: %w", err)
	}
	if m.Compressed != nil {
		return decompress(m.Compressed)
	}
	return m, m.check()
}

// check returns an error if the version of a message is unknown or the message is
// out of bounds.
func (m message) check() error {
	if m.Version != messageVersion {
		return fmt.Errorf("follower: message version %d is unknown", m.Version)
	}
	if changes := len(m.Changes) + len(m.Held) + len(m.Retained); changes > maxChanges || m.Staleness < 0 {
		return fmt.Errorf("follower: message with %d changes is out of bounds", changes)
	}
	return nil
}

// batch returns the changes of a message that was received at the given time.
func (m message) batch(now time.Time) batch {
	b := batch{era: verbenastand.Era(m.Era), after: verbenastand.Revision(m.After), full: m.Full, revision: verbenastand.Revision(m.Revision)}
	for _, id := range m.ForwardTo {
		b.forwardTo = append(b.forwardTo, verbenastand.HostID(id))
	}
	if m.Staleness < unknownStaleness {
		b.confirmedAt = now.Add(-m.Staleness)
	}
	for _, c := range m.Changes {
		b.changes = append(b.changes, c.change())
	}
	b.held = m.heldChanges()
	b.retained = m.Retained
	return b
}

func (m message) heldChanges() []heldChange {
	var list []heldChange
	for _, r := range m.Held {
		h := heldChange{change: r.Change.change()}
		if r.Last != nil {
			last := r.Last.registration()
			h.last = &last
		}
		list = append(list, h)
	}
	return list
}

func heldRecordOf(h heldChange) heldRecord {
	r := heldRecord{Change: changeRecordOf(h.change)}
	if h.last != nil {
		r.Last = registrationRecordOf(*h.last)
	}
	return r
}

func changeRecordOf(c verbenastand.Change) changeRecord {
	r := changeRecord{Key: c.Key, Revision: uint64(c.Revision)}
	if c.Registration != nil {
		r.Registration = registrationRecordOf(*c.Registration)
	}
	if c.Table != nil {
		r.Table = tableRecordOf(c.Table)
	}
	if c.Err != nil {
		r.Err = c.Err.Error()
	}
	if c.Evacuated != "" && !c.Removed {
		r.Err = evacuationText + string(c.Evacuated)
	}
	if c.Warning != nil {
		r.Warning = c.Warning.Error()
	}
	return r
}

func registrationRecordOf(r verbenastand.Registration) *registrationRecord {
	return &registrationRecord{
		Server: string(r.Server()), StartTime: r.StartTime(), Sequence: r.Sequence(), Service: string(r.Service()),
		Zone: string(r.Zone()), Address: r.Address(), Version: r.Version(), Slots: r.Slots(),
		State: int(r.State()), Warmup: r.Warmup(),
	}
}

func tableRecordOf(t *verbenastand.RouteTable) *tableRecord {
	limits := t.Limits()
	r := &tableRecord{
		Version: uint64(t.Version()), Services: make(map[string]serviceRecord),
		Limits: limitsRecord{
			HeaderBytes: limits.HeaderBytes, BodyBytes: limits.BodyBytes,
			HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
		},
	}
	for name, s := range t.Services() {
		r.Services[string(name)] = serviceRecord{HealthPath: s.HealthPath, MaxConnections: s.MaxConnections, WarmupRate: float64(s.WarmupRate)}
	}
	for _, route := range t.Routes() {
		record := routeRecord{
			Name: string(route.Name()), HostName: route.HostName(), PathPrefix: route.PathPrefix(),
			RetrySafety: int(route.RetrySafety()), Timeout: route.Timeout(), Target: route.Target(),
			MaxAttempts: route.MaxAttempts(), PriorityLevel: route.PriorityLevel(),
			Restricted: route.Regions().Restricted(), Regions: route.Regions().Names(),
		}
		for _, w := range route.Split() {
			record.Split = append(record.Split, weightedServiceRecord{Service: string(w.Service()), Weight: w.Weight()})
		}
		r.Routes = append(r.Routes, record)
	}
	return r
}

// evacuationText begins the error text with which the evacuation of an availability zone is
// encoded. Hosts of earlier versions keep and forward the error of an object that they can't
// read, but no unknown field.
const evacuationText = "evacuated zone: "

// warmupRate bounds a received limit.
func warmupRate(perSecond float64) verbenastand.RequestRate {
	if !(perSecond > 0 && perSecond < math.MaxFloat32) {
		return 0
	}
	return verbenastand.RequestRate(perSecond)
}

// decodingError is the error with which another host failed to decode an object.
type decodingError string

func (e decodingError) Error() string { return string(e) }

func (r changeRecord) change() verbenastand.Change {
	c := verbenastand.Change{Key: r.Key, Revision: verbenastand.Revision(r.Revision)}
	switch {
	case r.Registration != nil:
		registration := r.Registration.registration()
		c.Registration = &registration
	case r.Table != nil:
		c.Table = r.Table.table()
	case strings.HasPrefix(r.Err, evacuationText):
		c.Evacuated = verbenastand.Zone(strings.TrimPrefix(r.Err, evacuationText))
	case r.Err != "":
		c.Err = decodingError(r.Err)
	default:
		c.Removed = true
	}
	if r.Warning != "" {
		c.Warning = decodingError(r.Warning)
	}
	return c
}

func (r registrationRecord) registration() verbenastand.Registration {
	return verbenastand.NewRegistration(verbenastand.RegistrationConfig{
		Server: verbenastand.ServerID(r.Server), StartTime: r.StartTime, Sequence: r.Sequence,
		Service: verbenastand.ServiceName(r.Service), Zone: verbenastand.Zone(r.Zone), Address: r.Address,
		Version: r.Version, Slots: r.Slots, State: verbenastand.ServerState(r.State), Warmup: r.Warmup,
	})
}

func (r tableRecord) table() *verbenastand.RouteTable {
	c := verbenastand.RouteTableConfig{
		Version: verbenastand.TableVersion(r.Version), Services: make(map[verbenastand.ServiceName]verbenastand.ServiceSettings),
		Limits: verbenastand.CallerLimits{
			HeaderBytes: r.Limits.HeaderBytes, BodyBytes: r.Limits.BodyBytes,
			HeaderTimeout: r.Limits.HeaderTimeout, IdleTimeout: r.Limits.IdleTimeout,
		},
	}
	for name, s := range r.Services {
		c.Services[verbenastand.ServiceName(name)] = verbenastand.ServiceSettings{
			HealthPath: s.HealthPath, MaxConnections: s.MaxConnections, WarmupRate: warmupRate(s.WarmupRate),
		}
	}
	for _, record := range r.Routes {
		c.Routes = append(c.Routes, record.route())
	}
	return verbenastand.NewRouteTable(c)
}

func (r routeRecord) route() verbenastand.Route {
	c := verbenastand.RouteConfig{
		Name: verbenastand.RouteName(r.Name), HostName: r.HostName, PathPrefix: r.PathPrefix,
		RetrySafety: verbenastand.RetrySafety(r.RetrySafety), Timeout: r.Timeout, Target: r.Target,
		MaxAttempts: r.MaxAttempts, PriorityLevel: r.PriorityLevel,
	}
	if r.Restricted {
		c.Regions = verbenastand.NewRegions(r.Regions)
	}
	for _, w := range r.Split {
		c.Split = append(c.Split, verbenastand.NewWeightedService(verbenastand.ServiceName(w.Service), w.Weight))
	}
	return verbenastand.NewRoute(c)
}
