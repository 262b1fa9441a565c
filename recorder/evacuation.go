package recorder

import (
	"sync"

	"github.com/apex/log"

	verbenastand "github.com/verbenastand/verbenastand"
)

// evacuations records which availability zones were evacuated in the previous view.
type evacuations struct {
	mu    sync.Mutex
	zones map[verbenastand.Zone]bool
}

// EvacuationsChanged logs each availability zone whose evacuation has begun or ended since the
// previous view, with the number of its servers.
func (r *Recorder) EvacuationsChanged(v *verbenastand.View) {
	e := &r.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.zones) == 0 && v.EvacuatedZones() == 0 {
		return
	}
	zones := make(map[verbenastand.Zone]bool)
	for _, z := range v.EvacuatedZoneNames() {
		zones[z] = true
		if !e.zones[z] {
			r.evacuation("began", z, v)
		}
	}
	for z := range e.zones {
		if !zones[z] {
			r.evacuation("ended", z, v)
		}
	}
	e.zones = zones
}

func (r *Recorder) evacuation(change string, z verbenastand.Zone, v *verbenastand.View) {
	r.config.Log.WithFields(log.Fields{
		"change": change, "zone": loggedTarget(string(z)), "revision": uint64(v.Revision()), "servers": v.ServersIn(z),
	}).Warn(eventEvacuation)
}
