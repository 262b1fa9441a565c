package detector

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// evacuate puts servers into a zone and evacuates it.
func (n *fakeNetwork) evacuate(service verbenastand.ServiceName, numbers ...int) {
	c := verbenastand.ViewConfig{
		Servers: make(map[verbenastand.ServiceName][]verbenastand.Registration), Evacuated: map[verbenastand.Zone]bool{"e": true},
	}
	for _, name := range n.view.ServiceNames() {
		for i, r := range n.view.Servers(name) {
			zone := verbenastand.Zone("other")
			if name == service && slices.Contains(numbers, i) {
				zone = "e"
			}
			c.Servers[name] = append(c.Servers[name], verbenastand.NewRegistration(verbenastand.RegistrationConfig{
				Server: r.Server(), Service: name, Slots: 6, Zone: zone,
			}))
		}
	}
	n.view = verbenastand.NewView(c)
}

// Guards against a host that takes the requests which fail as an evacuated zone is shut down for a
// partition, and then probes the servers of all services.
func TestFailuresInAnEvacuatedZoneStartNoProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newFakeNetwork(map[verbenastand.ServiceName]int{"a": 6, "b": 6})
		n.evacuate("a", 0, 1, 2, 3)
		d := n.detector()
		for i := range 4 {
			n.reached[n.server("a", i).Server()] = false
			d.Failed(n.server("a", i))
		}
		synctest.Wait()
		time.Sleep(time.Second)
		require.Zero(t, n.probeCount())
	})
}

// Guards against a host that counts as cut off from a service, and delegates its requests, after the
// zones of all its servers have been evacuated, and against probes of them.
func TestAnEvacuatedServiceIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newFakeNetwork(map[verbenastand.ServiceName]int{"a": 4, "b": 4})
		n.cut("a", true)
		d := n.detector()
		time.Sleep(time.Minute)
		d.Failed(n.server("a", 0))
		d.Failed(n.server("a", 1))
		tick(d, 3*time.Second)
		require.True(t, d.Cut("a"))
		n.evacuate("a", 0, 1, 2, 3)
		synctest.Wait()
		probes := n.probeCount()
		d.Tick(time.Now())
		require.False(t, d.Cut("a"))
		require.False(t, d.Detached())
		tick(d, 3*time.Second)
		require.Equal(t, probes, n.probeCount())
	})
}

// Guards against probes of evacuated servers when another one has failed.
func TestEvacuatedServersAreNotProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newFakeNetwork(map[verbenastand.ServiceName]int{"a": 6})
		n.evacuate("a", 0, 1, 2)
		d := n.detector()
		for _, r := range n.view.Servers("a")[3:] {
			n.reached[r.Server()] = false
		}
		require.False(t, d.ReachesOthers(n.server("a", 3)), "only servers of the evacuated zone would respond")
		require.Equal(t, 2, n.probeCount())
		lost := func(server verbenastand.ServerID) verbenastand.Loss {
			return verbenastand.NewLoss(verbenastand.LossConfig{Server: server, Service: "a"})
		}
		require.True(t, d.Evacuated(lost("a0")))
		require.True(t, d.Evacuated(lost("gone")), "its zone is not known")
		require.False(t, d.Evacuated(lost("a3")))
		n.view = verbenastand.NewView(verbenastand.ViewConfig{})
		require.False(t, d.Evacuated(lost("gone")))
	})
}
