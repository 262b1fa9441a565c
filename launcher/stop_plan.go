package launcher

import "time"

const (
	// intakeFraction bounds the intake in short grace periods.
	intakeFraction = 0.5
	// openFraction is the fraction of the handling time in which requests are taken that their
	// own time limit may end too late. Servers then have at least twice as long for them.
	openFraction = 1.0 / 3
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
	// open is how long requests are taken whose time limits may end after the handling.
	open time.Duration
	// handling is how long servers may take for requests.
	handling time.Duration
	// exit is when connections are closed, whatever is under way.
	exit time.Duration
}

// newStopPlan divides a grace period. Callers may use an earlier lookup response, which names
// the host, for as long as that is valid.
func newStopPlan(grace, lookupValidity time.Duration) stopPlan {
	reserve := min(exitTime+deliveryTime, time.Duration(reserveFraction*float64(grace)))
	intake := min(lookupValidity, time.Duration(intakeFraction*float64(grace)))
	handling := grace - reserve
	return stopPlan{
		intake:   intake,
		open:     min(intake, time.Duration(openFraction*float64(handling))),
		handling: handling,
		exit:     grace - reserve*exitTime/(exitTime+deliveryTime),
	}
}
