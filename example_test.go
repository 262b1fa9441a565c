package verbenastand_test

import (
	"fmt"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/estimator"
	"github.com/verbenastand/verbenastand/internal/fake"
	"github.com/verbenastand/verbenastand/scheduler"
)

// A program that embeds the scheduler supplies its own clock and servers.
func Example() {
	clock := fake.NewClock()
	self := verbenastand.NewHost(verbenastand.HostConfig{Instance: verbenastand.NewInstance("host-a", 1), Zone: "cairo"})
	service := verbenastand.NewService(verbenastand.ServiceConfig{Name: "catalogue", Timeout: time.Second, Homes: 1})
	server := verbenastand.NewServer(verbenastand.ServerConfig{
		ID: "catalogue-0", Service: "catalogue", Zone: "cairo", Address: "127.0.0.1:80", Slots: 1,
	})
	s := scheduler.NewScheduler(scheduler.Config{
		Clock: clock, Self: self, Expected: func() time.Duration { return 10 * time.Millisecond },
	})
	s.Update(service, []verbenastand.Server{server}, []verbenastand.Host{self})

	newWaiter := func() *scheduler.Waiter {
		return &scheduler.Waiter{Expected: 10 * time.Millisecond, Deadline: clock.Now().Add(time.Second), Notify: func() { fmt.Println("granted later") }}
	}
	first, second := newWaiter(), newWaiter()
	fmt.Println("first granted immediately:", s.Submit(first))
	fmt.Println("second granted immediately:", s.Submit(second))
	grant, err := first.Grant()
	fmt.Println("first goes to", grant.Server().ID(), err)
	s.Release(grant, estimator.Succeeded, scheduler.Report{InFlight: 0})
	// Output:
	// first granted immediately: true
	// second granted immediately: false
	// first goes to catalogue-0 <nil>
	// granted later
}
