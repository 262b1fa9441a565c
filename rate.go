package verbenastand

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// RequestRate is a number of requests per second.
type RequestRate float64

// ParseRequestRate parses a decimal number of requests per second, zero or more.
func ParseRequestRate(text string) (RequestRate, error) {
	text = strings.TrimSpace(text)
	if strings.ContainsAny(text, "xX_") {
		return 0, fmt.Errorf("rate %.40q: want a decimal number", text)
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0, fmt.Errorf("rate %.40q: want a decimal number of requests per second", text)
	}
	return RequestRate(rate), nil
}

// Interval returns the time between two requests at the rate, at most longest.
func (r RequestRate) Interval(longest time.Duration) time.Duration {
	if float64(r)*longest.Seconds() <= 1 {
		return longest
	}
	return time.Duration(float64(time.Second) / float64(r))
}

// ServerProcess is one process of a backend server. Its start time is zero if it is
// not known.
type ServerProcess struct {
	Server    ServerID
	StartTime int64
	Service   ServiceName
	Zone      Zone
	// Instance identifies the process of a server whose start time is not known; it may be
	// empty.
	Instance string
}
