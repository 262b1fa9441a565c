// Package merger decodes and validates change tickets and merges them into the
// current configuration. For each object, the state with the highest ticket number
// wins, so the result does not depend on the order or repetition of tickets, and
// lost tickets can be merged later: the objects form a join semilattice.
package merger

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Limits and defaults of the fields of a ticket.
const (
	MaxTicketBytes     = 1 << 20
	maxObjects         = 20000
	maxSlots           = 10000
	maxConnections     = 100000
	maxHomes           = 64
	maxRules           = 64
	maxTimeout         = time.Hour
	defaultTimeout     = 10 * time.Second
	defaultHomes       = 3
	defaultSlots       = 6
	defaultConnections = 200
	longSlotsFactor    = 3
)

// Ticket is the JSON form of a change ticket: a numbered update of the configuration
// with the complete new state of each object that it changes.
type Ticket struct {
	Number   verbenastand.TicketNumber `json:"number"`
	Services []ServiceObject           `json:"services,omitempty"`
	Servers  []ServerObject            `json:"servers,omitempty"`
}

// ServiceObject is the complete state of one service.
type ServiceObject struct {
	Name    verbenastand.ServiceName `json:"name"`
	Deleted bool                     `json:"deleted,omitempty"`
	// Timeout is a duration such as "2s".
	Timeout    string       `json:"timeout,omitempty"`
	LongSlots  int          `json:"longSlots,omitempty"`
	RequireKey bool         `json:"requireKey,omitempty"`
	Homes      int          `json:"homes,omitempty"`
	Rules      []RuleObject `json:"rules,omitempty"`
}

// RuleObject assigns a priority and a size to requests of a service.
type RuleObject struct {
	Method     string `json:"method,omitempty"`
	PathPrefix string `json:"pathPrefix,omitempty"`
	Priority   string `json:"priority,omitempty"`
	Size       string `json:"size,omitempty"`
}

// ServerObject is the complete state of one backend server.
type ServerObject struct {
	ID          verbenastand.ServerID    `json:"id"`
	Deleted     bool                     `json:"deleted,omitempty"`
	Service     verbenastand.ServiceName `json:"service,omitempty"`
	Zone        verbenastand.Zone        `json:"zone,omitempty"`
	Address     string                   `json:"address,omitempty"`
	Slots       int                      `json:"slots,omitempty"`
	Connections int                      `json:"connections,omitempty"`
	State       string                   `json:"state,omitempty"`
}

// Decode decodes and validates one ticket. The result depends on the ticket
// alone, not on the current configuration, so all hosts accept the same tickets.
// The error joins all validation errors, each with the path of its field.
func Decode(data []byte) (Ticket, error) {
	if len(data) > MaxTicketBytes {
		return Ticket{}, fmt.Errorf("merger: ticket of %d bytes exceeds %d", len(data), MaxTicketBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var t Ticket
	if err := decoder.Decode(&t); err != nil {
		return Ticket{}, fmt.Errorf("merger: at byte %d: %w", decoder.InputOffset(), err)
	}
	if decoder.More() {
		return Ticket{}, fmt.Errorf("merger: at byte %d: unexpected data after the ticket", decoder.InputOffset())
	}
	if err := t.Validate(); err != nil {
		return Ticket{}, err
	}
	return t, nil
}

// Encode returns the ticket as JSON.
func (t Ticket) Encode() ([]byte, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return nil, fmt.Errorf("merger: encode ticket %d: %w", t.Number, err)
	}
	return data, nil
}

// Validate returns all validation errors of the ticket, joined.
func (t Ticket) Validate() error {
	var errs []error
	if t.Number == 0 {
		errs = append(errs, errors.New("number: must be greater than zero"))
	}
	if len(t.Services)+len(t.Servers) > maxObjects {
		errs = append(errs, fmt.Errorf("more than %d objects", maxObjects))
	}
	names := make(map[verbenastand.ServiceName]bool, len(t.Services))
	for i, s := range t.Services {
		path := fmt.Sprintf("services[%d]", i)
		errs = append(errs, s.validate(path)...)
		if names[s.Name] {
			errs = append(errs, fmt.Errorf("%s.name: %q is listed twice", path, s.Name))
		}
		names[s.Name] = true
	}
	ids := make(map[verbenastand.ServerID]bool, len(t.Servers))
	for i, s := range t.Servers {
		path := fmt.Sprintf("servers[%d]", i)
		errs = append(errs, s.validate(path)...)
		if ids[s.ID] {
			errs = append(errs, fmt.Errorf("%s.id: %q is listed twice", path, s.ID))
		}
		ids[s.ID] = true
	}
	return errors.Join(errs...)
}

func (s ServiceObject) validate(path string) []error {
	var errs []error
	if !verbenastand.ValidName(string(s.Name)) {
		errs = append(errs, fmt.Errorf("%s.name: %q is not a valid name", path, s.Name))
	}
	if s.Deleted {
		return errs
	}
	if _, err := s.parseTimeout(); err != nil {
		errs = append(errs, fmt.Errorf("%s.timeout: %w", path, err))
	}
	errs = checkRange(errs, path+".longSlots", s.LongSlots, maxSlots)
	errs = checkRange(errs, path+".homes", s.Homes, maxHomes)
	if len(s.Rules) > maxRules {
		errs = append(errs, fmt.Errorf("%s.rules: more than %d", path, maxRules))
	}
	for i, r := range s.Rules {
		if _, err := r.parseRule(); err != nil {
			errs = append(errs, fmt.Errorf("%s.rules[%d]: %w", path, i, err))
		}
	}
	return errs
}

func (s ServerObject) validate(path string) []error {
	var errs []error
	if !verbenastand.ValidName(string(s.ID)) {
		errs = append(errs, fmt.Errorf("%s.id: %q is not a valid name", path, s.ID))
	}
	if s.Deleted {
		return errs
	}
	if !verbenastand.ValidName(string(s.Service)) {
		errs = append(errs, fmt.Errorf("%s.service: %q is not a valid name", path, s.Service))
	}
	if !verbenastand.ValidName(string(s.Zone)) {
		errs = append(errs, fmt.Errorf("%s.zone: %q is not a valid name", path, s.Zone))
	}
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		errs = append(errs, fmt.Errorf("%s.address: %w", path, err))
	}
	errs = checkRange(errs, path+".slots", s.Slots, maxSlots)
	errs = checkRange(errs, path+".connections", s.Connections, maxConnections)
	if _, err := s.parseState(); err != nil {
		errs = append(errs, fmt.Errorf("%s.state: %w", path, err))
	}
	return errs
}

func checkRange(errs []error, path string, value, limit int) []error {
	if value < 0 || value > limit {
		return append(errs, fmt.Errorf("%s: %d is not between 0 and %d", path, value, limit))
	}
	return errs
}

func (s ServiceObject) parseTimeout() (time.Duration, error) {
	if s.Timeout == "" {
		return defaultTimeout, nil
	}
	d, err := time.ParseDuration(s.Timeout)
	if err != nil {
		return 0, err
	}
	if d <= 0 || d > maxTimeout {
		return 0, fmt.Errorf("%s is not between 0s and %s", d, maxTimeout)
	}
	return d, nil
}

func (s ServerObject) parseState() (verbenastand.ServerState, error) {
	switch s.State {
	case "", verbenastand.ServerActive.String():
		return verbenastand.ServerActive, nil
	case verbenastand.ServerDraining.String():
		return verbenastand.ServerDraining, nil
	}
	return 0, fmt.Errorf("%q is neither active nor draining", s.State)
}

func (r RuleObject) parseRule() (verbenastand.Rule, error) {
	c := verbenastand.RuleConfig{Method: r.Method, PathPrefix: r.PathPrefix, Priority: verbenastand.PriorityNormal}
	if r.PathPrefix != "" && !strings.HasPrefix(r.PathPrefix, "/") {
		return verbenastand.Rule{}, fmt.Errorf("pathPrefix: %q does not begin with /", r.PathPrefix)
	}
	switch r.Priority {
	case "", verbenastand.PriorityNormal.String():
	case verbenastand.PriorityPaid.String():
		c.Priority = verbenastand.PriorityPaid
	case verbenastand.PriorityBackground.String():
		c.Priority = verbenastand.PriorityBackground
	default:
		return verbenastand.Rule{}, fmt.Errorf("priority: %q is unknown", r.Priority)
	}
	size := verbenastand.Short
	switch r.Size {
	case "":
		return verbenastand.NewRule(c), nil
	case verbenastand.Short.String():
	case verbenastand.Long.String():
		size = verbenastand.Long
	default:
		return verbenastand.Rule{}, fmt.Errorf("size: %q is unknown", r.Size)
	}
	c.Size = &size
	return verbenastand.NewRule(c), nil
}

// toService converts a validated object.
func (s ServiceObject) toService() verbenastand.Service {
	timeout, _ := s.parseTimeout()
	c := verbenastand.ServiceConfig{
		Name: s.Name, Timeout: timeout, LongSlots: s.LongSlots,
		RequireKey: s.RequireKey, Homes: orDefault(s.Homes, defaultHomes),
	}
	for _, r := range s.Rules {
		rule, _ := r.parseRule()
		c.Rules = append(c.Rules, rule)
	}
	return verbenastand.NewService(c)
}

// toServer converts a validated object.
func (s ServerObject) toServer(number verbenastand.TicketNumber) verbenastand.Server {
	state, _ := s.parseState()
	return verbenastand.NewServer(verbenastand.ServerConfig{
		ID: s.ID, Service: s.Service, Zone: s.Zone, Address: s.Address,
		Slots: orDefault(s.Slots, defaultSlots), Connections: orDefault(s.Connections, defaultConnections),
		State: state, Ticket: number,
	})
}

func orDefault(value, defaultValue int) int {
	if value == 0 {
		return defaultValue
	}
	return value
}
