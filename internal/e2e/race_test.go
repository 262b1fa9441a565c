//go:build race

package e2e

// init enables the race detector in the processes under test too.
func init() { raceFlags = []string{"-race"} }
