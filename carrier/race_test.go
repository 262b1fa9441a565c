//go:build race

package carrier

const raceEnabled = true
