//go:build !race

package carrier

const raceEnabled = false
