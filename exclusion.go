package verbenastand

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// MaxRetryAfter bounds the delay that ParseRetryAfter returns.
const MaxRetryAfter = time.Hour

// ParseRetryAfter parses a Retry-After field with a decimal number of seconds, zero or more.
// Longer delays than MaxRetryAfter are cut to it. Dates are not accepted, since the time of
// day may differ between two machines.
func ParseRetryAfter(text string) (time.Duration, error) {
	text = strings.TrimSpace(text)
	if strings.Trim(text, "0123456789.") != "" {
		return 0, fmt.Errorf("retry-after %.40q: want a decimal number of seconds", text)
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil && !math.IsInf(seconds, 1) {
		return 0, fmt.Errorf("retry-after %.40q: want a decimal number of seconds", text)
	}
	if seconds >= MaxRetryAfter.Seconds() {
		return MaxRetryAfter, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// Exclusion tells why a server gets no requests.
type Exclusion struct {
	// Leaving is set if the server has said that it is leaving.
	Leaving bool
	// Wait is the time until the server accepts requests again, zero if it is leaving.
	Wait time.Duration
}

// ServerExcluder keeps which servers get no requests because of what their responses say.
type ServerExcluder interface {
	// Exclusion returns why a server gets no requests, and whether that is so.
	Exclusion(p ServerProcess) (Exclusion, bool)
}

// NoExclusions is a ServerExcluder that excludes none.
type NoExclusions struct{}

// Exclusion implements ServerExcluder.
func (NoExclusions) Exclusion(ServerProcess) (Exclusion, bool) { return Exclusion{}, false }
