package detector

import (
	"math/rand/v2"
	"slices"

	verbenastand "github.com/verbenastand/verbenastand"
)

// smallService is the number of servers up to which the failure of all of them says little
// about this host.
const smallService = 3

// ReachesOthers reports whether this host reaches a server other than the given one: if
// not, its failure says nothing about that server. It probes others of the service, and
// for a small service some of the others.
func (d *Detector) ReachesOthers(failed verbenastand.Registration) bool {
	v := d.config.View()
	servers := active(v, failed.Service())
	small := len(servers) <= smallService
	servers = slices.DeleteFunc(servers, func(r verbenastand.Registration) bool { return r.Server() == failed.Server() })
	servers = d.preferIncluded(servers)
	shuffle(servers)
	if small {
		for _, n := range v.ServiceNames() {
			if others := active(v, n); n != failed.Service() && len(others) > 0 {
				servers = append(servers, others[rand.IntN(len(others))])
			}
		}
	}
	if len(servers) == 0 {
		// Nothing tells the two apart.
		return true
	}
	servers = servers[:min(maxProbes, len(servers))]
	first := min(firstProbes, len(servers))
	return d.probe(servers[:first]) || d.probe(servers[first:])
}

// Replaced reports whether a later process of a server is registered than the one to which
// a connection was lost.
func (d *Detector) Replaced(lost verbenastand.Loss) bool {
	for _, r := range d.config.View().Servers(lost.Service()) {
		if r.Server() == lost.Server() {
			return lost.StartTime() != 0 && r.StartTime() > lost.StartTime()
		}
	}
	return false
}

// Evacuated reports whether the process to which a connection was lost must not be contacted,
// since its availability zone is evacuated. While any zone is, that holds for a server that is
// not registered, too: its zone is not known.
func (d *Detector) Evacuated(lost verbenastand.Loss) bool {
	v := d.config.View()
	if v.EvacuatedZones() == 0 {
		return false
	}
	for _, r := range v.Servers(lost.Service()) {
		if r.Server() == lost.Server() {
			return v.Evacuated(r.Zone())
		}
	}
	return true
}
