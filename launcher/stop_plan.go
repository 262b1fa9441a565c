package launcher

import "time"

const (
	// maxGatewayIntake is how long a gateway takes requests in long grace periods, so that
	// what arrives late need not be broken off. An entry host takes those that end in time
	// for longer.
	maxGatewayIntake = 2500 * time.Millisecond
	// intakeFraction bounds the intake in short grace periods.
	intakeFraction = 0.5
	// exitTime is reserved for the exit of the process, and deliveryTime before it for
	// the responses to requests that are still being handled. reserveFraction bounds both
	// in short grace periods.
	exitTime        = 400 * time.Millisecond
	deliveryTime    = 200 * time.Millisecond
	reserveFraction = 0.125
)

// stopPlan holds the times of a planned stop, from the signal on.
type stopPlan struct {
	// intake is how long requests are still taken.
	intake time.Duration
	// open is how long requests are taken that may not be complete by the end of handling.
	open time.Duration
	// handling is how long servers may take for requests.
	handling time.Duration
	// exit is when connections are closed, whatever is under way.
	exit time.Duration
}

// newStopPlan divides a grace period, with an intake of at most maxIntake.
func newStopPlan(grace, maxIntake time.Duration) stopPlan {
	reserve := min(exitTime+deliveryTime, time.Duration(reserveFraction*float64(grace)))
	intake := min(maxIntake, time.Duration(intakeFraction*float64(grace)))
	return stopPlan{
		intake:   intake,
		open:     min(intake, maxGatewayIntake),
		handling: grace - reserve,
		exit:     grace - reserve*exitTime/(exitTime+deliveryTime),
	}
}
