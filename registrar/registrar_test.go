package registrar_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/gossiper"
	"github.com/verbenastand/verbenastand/internal/fake"
	"github.com/verbenastand/verbenastand/merger"
	"github.com/verbenastand/verbenastand/registrar"
	"github.com/verbenastand/verbenastand/scheduler"
)

// The size of the target deployment.
const (
	targetServices = 71
	targetServers  = 1300
	targetHosts    = 60
	targetZones    = 7
)

func targetTicket() merger.Ticket {
	ticket := merger.Ticket{Number: 1}
	for i := range targetServices {
		ticket.Services = append(ticket.Services, merger.ServiceObject{Name: verbenastand.ServiceName(fmt.Sprint("service-", i))})
	}
	for i := range targetServers {
		ticket.Servers = append(ticket.Servers, merger.ServerObject{
			ID: verbenastand.ServerID(fmt.Sprint("server-", i)), Zone: verbenastand.Zone(fmt.Sprint("zone-", i%targetZones)),
			Service: verbenastand.ServiceName(fmt.Sprint("service-", i%targetServices)), Address: "127.0.0.1:80",
		})
	}
	return ticket
}

func targetHostList() []verbenastand.Host {
	var hosts []verbenastand.Host
	for i := range targetHosts {
		hosts = append(hosts, verbenastand.NewHost(verbenastand.HostConfig{
			Instance: verbenastand.NewInstance(verbenastand.HostID(fmt.Sprint("host-", i)), 1), Zone: verbenastand.Zone(fmt.Sprint("zone-", i%targetZones)),
		}))
	}
	return hosts
}

func newRegistrar(clock verbenastand.Clock, m *merger.Merger, hosts []verbenastand.Host) *registrar.Registrar {
	return registrar.NewRegistrar(registrar.Config{
		Clock: clock, Self: hosts[0], Configuration: m, Hosts: func() []verbenastand.Host { return hosts },
	})
}

func TestNoticeReceivedBeforeItsTicketIsApplied(t *testing.T) {
	m := merger.NewMerger(merger.Config{})
	r := newRegistrar(fake.NewClock(), m, targetHostList())
	r.ApplyNotice(gossiper.Notice{Service: "service-3", DrainNotice: scheduler.DrainNotice{Server: "server-3", Ticket: 1}})
	m.Merge(targetTicket())
	r.Update()
	require.Len(t, r.Notices(), 1)
	for _, s := range r.Find("service-3").Scheduler().Status().Servers {
		require.Equal(t, s.Server.ID() == "server-3", s.Draining)
	}
}

func TestDeletedServiceIsRemoved(t *testing.T) {
	m := merger.NewMerger(merger.Config{})
	r := newRegistrar(fake.NewClock(), m, targetHostList())
	m.Merge(targetTicket())
	r.Update()
	require.NotNil(t, r.Find("service-9"))
	m.Merge(merger.Ticket{Number: 2, Services: []merger.ServiceObject{{Name: "service-9", Deleted: true}}})
	r.Update()
	require.Nil(t, r.Find("service-9"))
}

// BenchmarkUpdate measures Update after a ticket or a membership change with the
// services, servers and hosts of the target deployment, and the memory of all
// components.
func BenchmarkUpdate(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m := merger.NewMerger(merger.Config{})
	m.Merge(targetTicket())
	r := newRegistrar(fake.NewClock(), m, targetHostList())
	r.Update()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ResetTimer()
	for range b.N {
		r.Update()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "state-bytes")
	runtime.KeepAlive(r)
}

// BenchmarkTick measures one tick of a service of 19 servers.
func BenchmarkTick(b *testing.B) {
	clock := fake.NewClock()
	m := merger.NewMerger(merger.Config{})
	m.Merge(targetTicket())
	r := newRegistrar(clock, m, targetHostList())
	r.Update()
	s := r.Find("service-0").Scheduler()
	b.ResetTimer()
	for range b.N {
		s.Tick(clock.Now())
	}
}
