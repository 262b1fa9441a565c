package emulator

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	recordFields = 6
	noKey        = "-"
)

// Run is a request that a server began to run, by the server's own record.
type Run struct {
	// Server ran the request.
	Server verbenastand.ServerID
	// Key is the request's key, empty if it had none.
	Key string
	// ID is the request's identity.
	ID string
	// At is when the server began.
	At time.Time
}

// ReadRecord reads the requests that ran from a record that servers wrote. A
// record that does not exist yet is empty.
func ReadRecord(name string) ([]Run, error) {
	data, err := os.ReadFile(name)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("emulator: %w", err)
	}
	var runs []Run
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) != recordFields || f[0] != recordRun {
			continue
		}
		ms, err := strconv.ParseInt(f[5], 10, 64)
		if err != nil {
			return nil, fmt.Errorf("emulator: record line %q: %w", line, err)
		}
		r := Run{Server: verbenastand.ServerID(f[1]), Key: f[3], ID: f[4], At: time.UnixMilli(ms)}
		if r.Key == noKey {
			r.Key = ""
		}
		runs = append(runs, r)
	}
	return runs, nil
}

// VerifyKeys compares what callers were told with what ran. It returns every
// breach: a key that ran twice, one that was answered and did not run once, one
// that was told notRun and ran, a request that was told nothing but notRun and
// ran, and answers that are wrong.
func VerifyKeys(runs []Run, results []Result) error {
	count := make(map[string]int)
	ran := make(map[string]bool)
	for _, r := range runs {
		ran[r.ID] = true
		if r.Key != "" {
			count[r.Key]++
		}
	}
	var breaches []error
	add := func(format string, args ...any) { breaches = append(breaches, fmt.Errorf(format, args...)) }
	for key, n := range count {
		if n > 1 {
			add("key %s ran %d times", key, n)
		}
	}
	for _, r := range results {
		if r.Wrong != "" {
			add("wrong answer: %s", r.Wrong)
		}
		if r.NeverRan && ran[r.ID] {
			add("request %s was told notRun each time and ran", r.ID)
		}
		told := r.NotRunKeys
		if r.Key != "" && r.Verdict == verbenastand.NotRun && r.Status != 0 {
			told = append(told, r.Key)
		}
		for _, key := range told {
			if count[key] > 0 {
				add("key %s was told notRun and ran", key)
			}
		}
		if r.Key != "" && r.Whole && count[r.Key] != 1 {
			add("key %s was answered and ran %d times", r.Key, count[r.Key])
		}
	}
	return errors.Join(breaches...)
}
