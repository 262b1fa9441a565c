package deduplicator

import (
	"fmt"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	// MaxHandoverBytes is the maximum encoded size of the key tables that a
	// stopping host sends to its successor.
	MaxHandoverBytes = 128 << 20
	maxImported      = 64
)

// exportedEntry is the encoded form of one key and its outcome.
type exportedEntry struct {
	Key         string                     `cbor:"1,keyasint"`
	Fingerprint uint64                     `cbor:"2,keyasint"`
	Failed      bool                       `cbor:"3,keyasint,omitempty"`
	Verdict     verbenastand.Verdict       `cbor:"4,keyasint,omitempty"`
	Reason      verbenastand.RefusalReason `cbor:"5,keyasint,omitempty"`
	Status      int                        `cbor:"6,keyasint,omitempty"`
	Header      http.Header                `cbor:"7,keyasint,omitempty"`
	Body        []byte                     `cbor:"8,keyasint,omitempty"`
	Complete    bool                       `cbor:"9,keyasint,omitempty"`
}

// exportedTable holds every key of an instance that had not expired when the
// instance stopped. Unexpired keys that it lacks were never executed and never will
// be.
type exportedTable struct {
	Instance   string          `cbor:"1,keyasint"`
	ExportedAt int64           `cbor:"2,keyasint"`
	Entries    []exportedEntry `cbor:"3,keyasint"`
}

// importedTable is the key table of an instance that shut down gracefully.
type importedTable struct {
	exportedAt time.Time
	entries    map[string]*entry
	discardAt  time.Time
}

// Export returns the encoded tables of this instance and those it imported, for a
// successor. Call it after Close, once no attempt is in progress; an attempt that
// still is gets the verdict MayHaveRun.
func (d *Deduplicator) Export() ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	tables := []exportedTable{exportTable(d.config.Instance, d.now(), d.entries)}
	for instance, i := range d.imported {
		tables = append(tables, exportTable(instance, i.exportedAt, i.entries))
	}
	data, err := cbor.Marshal(tables)
	if err != nil {
		return nil, fmt.Errorf("deduplicator: encode tables: %w", err)
	}
	return data, nil
}

func exportTable(instance verbenastand.Instance, at time.Time, entries map[string]*entry) exportedTable {
	table := exportedTable{Instance: instance.String(), ExportedAt: at.UnixMilli()}
	for key, e := range entries {
		exported := exportedEntry{Key: key, Fingerprint: e.fingerprint}
		switch o := e.outcome; {
		case !e.finished:
			exported.Failed, exported.Verdict, exported.Reason = true, verbenastand.MayHaveRun, verbenastand.ReasonKeyOwnerUnreachable
		case o.err != nil:
			exported.Failed, exported.Verdict, exported.Reason = true, o.err.Verdict(), o.err.Reason()
		default:
			exported.Status, exported.Header, exported.Body, exported.Complete = o.status, o.header, o.body, o.complete
		}
		table.Entries = append(table.Entries, exported)
	}
	return table
}

// Import adds the tables exported by an instance that is shutting down.
func (d *Deduplicator) Import(data []byte) error {
	var tables []exportedTable
	if err := cbor.Unmarshal(data, &tables); err != nil {
		return fmt.Errorf("deduplicator: decode tables: %w", err)
	}
	for _, t := range tables {
		instance, err := verbenastand.ParseInstance(t.Instance)
		if err != nil {
			return fmt.Errorf("deduplicator: %w", err)
		}
		d.addTable(instance, t)
	}
	return nil
}

func (d *Deduplicator) addTable(instance verbenastand.Instance, t exportedTable) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known := d.imported[instance]
	if known || instance == d.config.Instance || len(d.imported) >= maxImported {
		return
	}
	i := &importedTable{
		exportedAt: time.UnixMilli(t.ExportedAt), entries: make(map[string]*entry, len(t.Entries)),
		discardAt: d.now().Add(2 * d.config.Validity),
	}
	for _, e := range t.Entries {
		o := NewResponse(e.Status, e.Header, e.Body, e.Complete)
		if e.Failed {
			o = NewFailure(verbenastand.NewRequestError(e.Verdict, e.Reason, nil))
		}
		i.entries[e.Key] = &entry{fingerprint: e.Fingerprint, outcome: o, finished: true}
	}
	d.imported[instance] = i
}

// HasImported reports whether this host imported the table of an instance.
func (d *Deduplicator) HasImported(instance verbenastand.Instance) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.imported[instance] != nil
}

// ImportedFrom returns the instances whose tables this host imported.
func (d *Deduplicator) ImportedFrom() []verbenastand.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	var instances []verbenastand.Instance
	for instance := range d.imported {
		instances = append(instances, instance)
	}
	return instances
}

// outcomeOf returns the outcome of a key of an imported table. A missing key is
// compared with the export time by the clock of the stopped instance: that
// instance discarded only keys that had expired by then, so one that expires
// later was never executed.
func (t *importedTable) outcomeOf(key Key, fingerprint uint64) Outcome {
	e := t.entries[key.localID()]
	switch {
	case e == nil && !key.expiry.After(t.exportedAt):
		return NewFailure(verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonKeyExpired, nil))
	case e == nil:
		return NewFailure(verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonDraining, nil))
	case e.fingerprint != fingerprint:
		return NewFailure(verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonKeyConflict, nil))
	}
	return e.outcome
}

func (d *Deduplicator) sweepImported(now time.Time) {
	for instance, i := range d.imported {
		if now.After(i.discardAt) {
			delete(d.imported, instance)
		}
	}
}
