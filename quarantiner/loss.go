package quarantiner

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	// maxLosses bounds the losses kept for one fingerprint.
	maxLosses = 16
	// maxSentLosses bounds the losses that a message holds for one fingerprint.
	maxSentLosses = 4
	// examinationInterval is the minimum time between two examinations of a loss by which
	// a request is refused.
	examinationInterval = 2 * time.Second
	// DefaultRegistrationTime is the time within which a server process is registered after
	// its start.
	DefaultRegistrationTime = 2 * time.Second
	// restartTime is the time within which losses of connections to one process come from one
	// crash. The server may have started again before a later one without being registered yet.
	restartTime = time.Second
)

// LossRecord is the loss of a connection to a server as hosts exchange it.
type LossRecord struct {
	Server    verbenastand.ServerID    `cbor:"s"`
	Service   verbenastand.ServiceName `cbor:"v,omitempty"`
	Address   string                   `cbor:"a,omitempty"`
	StartTime int64                    `cbor:"t,omitempty"`
	Instance  string                   `cbor:"i,omitempty"`
	// Number distinguishes losses. Of those that come from one crash, the lowest remains.
	Number uint64                    `cbor:"n"`
	State  verbenastand.ProcessState `cbor:"e,omitempty"`
	// Age is the time since the loss.
	Age time.Duration `cbor:"d,omitempty"`
}

// process names the server process. Hosts of earlier versions compare such names only.
func (r LossRecord) process() verbenastand.ServerID {
	switch {
	case r.StartTime != 0:
		return r.Server + "#" + verbenastand.ServerID(strconv.FormatInt(r.StartTime, 36))
	case r.Instance != "":
		return r.Server + "#" + verbenastand.ServerID(r.Instance)
	}
	return r.Server
}

// loss is a LossRecord as kept by this host. Its Age is not used.
type loss struct {
	LossRecord
	at time.Time
	// unnumbered is set if it came from a host of an earlier version.
	unnumbered bool
	// examinedAt is when this host last examined the process, respondingSince when it first
	// found it responding.
	examinedAt, respondingSince time.Time
	// examined is closed when the examination under way ends; nil if there is none.
	examined chan struct{}
}

func newLoss(l verbenastand.Loss, state verbenastand.ProcessState) loss {
	return loss{
		LossRecord: LossRecord{
			Server: l.Server(), Service: l.Service(), Address: l.Address(), StartTime: l.StartTime(), Instance: l.Instance(),
			Number: rand.Uint64(), State: state,
		},
		at: l.At(), examinedAt: l.At(),
	}
}

// newUnnumberedLoss returns the loss of a crashed server that a host of an earlier version
// names.
func newUnnumberedLoss(server verbenastand.ServerID, now time.Time) loss {
	return loss{LossRecord: LossRecord{Server: server, Number: xxhash.Sum64String(string(server)), State: verbenastand.ProcessEnded}, at: now, unnumbered: true}
}

func (l *loss) loss() verbenastand.Loss {
	return verbenastand.NewLoss(verbenastand.LossConfig{
		Server: l.Server, Service: l.Service, Address: l.Address, StartTime: l.StartTime, Instance: l.Instance, At: l.at,
	})
}

// record returns the loss as it is sent to other hosts.
func (l *loss) record(now time.Time) LossRecord {
	r := l.LossRecord
	r.Age = now.Sub(l.at)
	return r
}

// resolve stores a finding about the process and reports whether that is a change. A
// process that responds for longer than a new one takes to register has not ended.
func (l *loss) resolve(state verbenastand.ProcessState, now time.Time, registrationTime time.Duration) bool {
	if state == verbenastand.ProcessResponding {
		if l.respondingSince.IsZero() {
			l.respondingSince = now
		}
		if !l.responds(now, registrationTime) {
			return false
		}
		state = verbenastand.ProcessRunning
	}
	return l.advance(state)
}

// advance stores a finding unless a greater one is known, and reports whether that is a
// change.
func (l *loss) advance(state verbenastand.ProcessState) bool {
	if state <= l.State {
		return false
	}
	l.State = state
	return true
}

// responds reports whether the process was found responding long enough ago for a new one
// to be registered since.
func (l *loss) responds(now time.Time, registrationTime time.Duration) bool {
	return !l.respondingSince.IsZero() && now.Sub(l.respondingSince) >= registrationTime
}

// crashes returns the number of processes that have ended.
func (s *suspect) crashes() int {
	return s.count(func(state verbenastand.ProcessState) bool { return state == verbenastand.ProcessEnded })
}

// possibleCrashes returns the number of processes that are not known to be running.
func (s *suspect) possibleCrashes() int {
	return s.count(func(state verbenastand.ProcessState) bool { return state != verbenastand.ProcessRunning })
}

func (s *suspect) count(counts func(verbenastand.ProcessState) bool) int {
	var distinct []*loss
	for _, l := range s.losses {
		known := func(other *loss) bool { return other.sameCrash(l) }
		if counts(l.State) && !slices.ContainsFunc(distinct, known) {
			distinct = append(distinct, l)
		}
	}
	return len(distinct)
}

// sameCrash reports whether two losses come from one crash, if they do from any.
func (l *loss) sameCrash(other *loss) bool {
	return l.process() == other.process() && l.at.Sub(other.at).Abs() <= restartTime
}

// merge adds a loss or what another host has found about it, and reports whether that
// is a change.
func (s *suspect) merge(added loss) bool {
	for _, known := range s.losses {
		switch {
		case known.Number == added.Number || known.sameCrash(&added):
			known.Number = min(known.Number, added.Number)
			if added.at.Before(known.at) {
				known.at = added.at
			}
			return known.advance(added.State)
		case added.unnumbered && (known.process() == added.Server || known.Server == added.Server):
			return false
		case known.unnumbered && (added.process() == known.Server || added.Server == known.Server):
			*known = added
			return true
		}
	}
	if len(s.losses) >= maxLosses && !s.makeRoom(added) {
		return false
	}
	s.losses = append(s.losses, &added)
	return true
}

// makeRoom removes a loss that is no crash for one that is.
func (s *suspect) makeRoom(added loss) bool {
	if added.State != verbenastand.ProcessEnded {
		return false
	}
	other := slices.IndexFunc(s.losses, func(l *loss) bool { return l.State != verbenastand.ProcessEnded })
	if other < 0 {
		return false
	}
	s.losses = slices.Delete(s.losses, other, other+1)
	return true
}

// mayBeRefuted reports whether a process responds that is taken for crashed.
func (s *suspect) mayBeRefuted() bool {
	return slices.ContainsFunc(s.losses, func(l *loss) bool {
		return l.State == verbenastand.ProcessEnded && !l.respondingSince.IsZero()
	})
}

// sample returns the losses, up to a number chosen at random.
func (s *suspect) sample(limit int) []*loss {
	if len(s.losses) <= limit {
		return s.losses
	}
	sample := slices.Clone(s.losses)
	rand.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	return sample[:limit]
}

// crashedProcesses returns the names of the processes that have ended.
func (s *suspect) crashedProcesses() []verbenastand.ServerID {
	var names []verbenastand.ServerID
	for _, l := range s.losses {
		if p := l.process(); l.State == verbenastand.ProcessEnded && !slices.Contains(names, p) {
			names = append(names, p)
		}
	}
	return names
}
