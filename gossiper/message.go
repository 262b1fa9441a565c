// Package gossiper implements the gossip protocol of a deployment. Its hosts exchange
// which hosts are alive, the number of the newest change ticket, which servers are
// draining and which requests crash servers. Updates may arrive in any order and may
// be lost.
package gossiper

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/limiter"
	"github.com/verbenastand/verbenastand/quarantiner"
	"github.com/verbenastand/verbenastand/scheduler"
)

const (
	messageVersion = 1
	// MaxMessageBytes is the maximum size of an incoming message.
	MaxMessageBytes = 64 << 10
	maxEntries      = 4096
)

// hostRecord is the state of one host as sent to peers.
type hostRecord struct {
	Host        string                    `cbor:"1,keyasint"`
	Boot        uint64                    `cbor:"2,keyasint"`
	Heartbeat   uint64                    `cbor:"3,keyasint"`
	Zone        string                    `cbor:"4,keyasint"`
	CallAddress string                    `cbor:"5,keyasint"`
	APIAddress  string                    `cbor:"6,keyasint"`
	PeerAddress string                    `cbor:"7,keyasint"`
	Leaving     bool                      `cbor:"8,keyasint,omitempty"`
	Ticket      verbenastand.TicketNumber `cbor:"9,keyasint"`
	Digest      uint64                    `cbor:"10,keyasint"`
	// ImportedFrom names the stopped instances whose keys the host imported.
	ImportedFrom []string `cbor:"11,keyasint,omitempty"`
	// Detached is set while the host reaches no backend server.
	Detached bool `cbor:"12,keyasint,omitempty"`
	// LinkMbps is the bandwidth of the host's link in Mbit/s.
	LinkMbps int `cbor:"13,keyasint,omitempty"`
}

// noticeRecord is the encoded form of a Notice.
type noticeRecord struct {
	Service  verbenastand.ServiceName  `cbor:"1,keyasint"`
	Server   verbenastand.ServerID     `cbor:"2,keyasint"`
	Ticket   verbenastand.TicketNumber `cbor:"3,keyasint"`
	Instance string                    `cbor:"4,keyasint,omitempty"`
}

// message is what two hosts exchange. The first host record is the sender's own.
// Heartbeats is keyed by instance tag; a host ignores the tags it does not know
// until it receives the full record.
type message struct {
	Version    int                    `cbor:"1,keyasint"`
	Hosts      []hostRecord           `cbor:"2,keyasint"`
	Notices    []noticeRecord         `cbor:"3,keyasint,omitempty"`
	Evidence   []quarantiner.Evidence `cbor:"4,keyasint,omitempty"`
	Heartbeats map[uint32]uint64      `cbor:"5,keyasint,omitempty"`
	// WantsRecords asks for many full records after unknown tags were received.
	WantsRecords bool `cbor:"6,keyasint,omitempty"`
	// Leaving holds the tags of instances that have recently announced their
	// shutdown.
	Leaving []uint32 `cbor:"7,keyasint,omitempty"`
	// Limits are those that backend servers name.
	Limits []limiter.Record `cbor:"8,keyasint,omitempty"`
}

// Notice is a drain notice together with the service that the server belongs to.
type Notice struct {
	// Service is the service of the draining server.
	Service verbenastand.ServiceName
	scheduler.DrainNotice
}

func encodeMessage(m message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("gossiper: encode message: %w", err)
	}
	return data, nil
}

func decodeMessage(data []byte) (message, error) {
	var m message
	if len(data) > MaxMessageBytes {
		return m, fmt.Errorf("gossiper: message of %d bytes exceeds %d", len(data), MaxMessageBytes)
	}
	if err := cbor.Unmarshal(data, &m); err != nil {
		return m, fmt.Errorf("gossiper: decode message: %w", err)
	}
	if m.Version != messageVersion {
		return m, fmt.Errorf("gossiper: message version %d is unknown", m.Version)
	}
	if len(m.Hosts) == 0 || len(m.Hosts) > maxEntries || len(m.Notices) > maxEntries || len(m.Evidence) > maxEntries || len(m.Limits) > maxEntries || len(m.Heartbeats) > maxEntries || len(m.Leaving) > maxEntries {
		return m, fmt.Errorf("gossiper: message with %d hosts is out of bounds", len(m.Hosts))
	}
	for _, h := range m.Hosts {
		if len(h.ImportedFrom) > maxEntries || !verbenastand.ValidName(h.Host) || !verbenastand.ValidName(h.Zone) {
			return m, fmt.Errorf("gossiper: host record %q is malformed", h.Host)
		}
	}
	return m, nil
}

func recordOf(h verbenastand.Host) hostRecord {
	return hostRecord{
		Host: string(h.ID()), Boot: h.Instance().Boot(), Zone: string(h.Zone()),
		CallAddress: h.CallAddress(), APIAddress: h.APIAddress(),
		PeerAddress: h.PeerAddress(), Leaving: h.Leaving(), Detached: h.Detached(), LinkMbps: h.LinkMbps(),
	}
}

func (r hostRecord) host() verbenastand.Host {
	return verbenastand.NewHost(verbenastand.HostConfig{
		Instance: verbenastand.NewInstance(verbenastand.HostID(r.Host), r.Boot), Zone: verbenastand.Zone(r.Zone),
		CallAddress: r.CallAddress, APIAddress: r.APIAddress,
		PeerAddress: r.PeerAddress, Leaving: r.Leaving, Detached: r.Detached, LinkMbps: r.LinkMbps,
	})
}

// equalIgnoringHeartbeat reports whether two records differ at most in their
// heartbeat, ticket number and digest.
func (r hostRecord) equalIgnoringHeartbeat(other hostRecord) bool {
	return r.host() == other.host() && slices.Equal(r.ImportedFrom, other.ImportedFrom)
}

// tag returns a short hash that identifies the instance in messages.
func (r hostRecord) tag() uint32 {
	return uint32(xxhash.Sum64String(r.host().Instance().String()))
}

// newer reports whether r is a later record of the same host than old.
func (r hostRecord) newer(old hostRecord) bool {
	if r.Boot != old.Boot {
		return r.Boot > old.Boot
	}
	return r.Heartbeat > old.Heartbeat
}
