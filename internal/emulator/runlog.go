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
	runLogFields = 6
	noKey        = "-"
)

// Run is the start of a request at a server, as read from the run log.
type Run struct {
	// Server is the server that ran the request.
	Server verbenastand.ServerID
	// Key is the idempotency key, empty if there is none.
	Key string
	// ID is the ID of the request.
	ID string
	// At is when the run started.
	At time.Time
}

// ReadRunLog reads the requests that ran from a run log written by servers. A file
// that does not exist counts as empty.
func ReadRunLog(name string) ([]Run, error) {
	data, err := os.ReadFile(name)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("emulator: %w", err)
	}
	var runs []Run
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) != runLogFields || fields[0] != eventRun {
			continue
		}
		ms, err := strconv.ParseInt(fields[5], 10, 64)
		if err != nil {
			return nil, fmt.Errorf("emulator: record line %q: %w", line, err)
		}
		r := Run{Server: verbenastand.ServerID(fields[1]), Key: fields[3], ID: fields[4], At: time.UnixMilli(ms)}
		if r.Key == noKey {
			r.Key = ""
		}
		runs = append(runs, r)
	}
	return runs, nil
}

// VerifyKeys compares the results of callers with the requests that ran. It returns
// an error that joins all violations: a key that ran twice, a key that got a complete
// response but did not run exactly once, a key that ran despite the verdict notRun, a
// request that ran although all attempts got notRun, and wrong responses.
func VerifyKeys(runs []Run, results []Result) error {
	runCount := make(map[string]int)
	ran := make(map[string]bool)
	for _, r := range runs {
		ran[r.ID] = true
		if r.Key != "" {
			runCount[r.Key]++
		}
	}
	var violations []error
	add := func(format string, args ...any) { violations = append(violations, fmt.Errorf(format, args...)) }
	for key, n := range runCount {
		if n > 1 {
			add("key %s ran %d times", key, n)
		}
	}
	for _, r := range results {
		if r.ResponseError != "" {
			add("wrong response: %s", r.ResponseError)
		}
		if r.NeverRan && ran[r.ID] {
			add("request %s got notRun for each attempt but ran", r.ID)
		}
		notRunKeys := r.NotRunKeys
		if r.Key != "" && r.Verdict == verbenastand.NotRun && r.Status != 0 {
			notRunKeys = append(notRunKeys, r.Key)
		}
		for _, key := range notRunKeys {
			if runCount[key] > 0 {
				add("key %s got notRun but ran", key)
			}
		}
		if r.Key != "" && r.Complete && runCount[r.Key] != 1 {
			add("key %s was answered but ran %d times", r.Key, runCount[r.Key])
		}
	}
	return errors.Join(violations...)
}
