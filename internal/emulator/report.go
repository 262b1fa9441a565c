package emulator

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	maxLatency    = time.Minute
	latencyDigits = 3
)

// serviceStats are the statistics of the requests to one service.
type serviceStats struct {
	requests int
	complete int
	wrong    int
	verdicts [3]int
	latency  *hdrhistogram.Histogram
}

// Report aggregates results by service. It is safe for concurrent use.
type Report struct {
	mu       sync.Mutex
	services map[verbenastand.ServiceName]*serviceStats
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{services: make(map[verbenastand.ServiceName]*serviceStats)}
}

// Add adds a result.
func (r *Report) Add(service verbenastand.ServiceName, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil {
		s = &serviceStats{latency: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
		r.services[service] = s
	}
	s.requests++
	s.verdicts[result.Verdict]++
	if result.ResponseError != "" {
		s.wrong++
	}
	if result.Complete {
		s.complete++
		_ = s.latency.RecordValue(result.Took.Microseconds())
	}
}

// Wrong returns the number of wrong responses.
func (r *Report) Wrong() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	wrong := 0
	for _, s := range r.services {
		wrong += s.wrong
	}
	return wrong
}

// Print writes the statistics as a table.
func (r *Report) Print(out io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "service\trequests\tcomplete\twrong\tran\tnot run\tmay have run\tp50 ms\tp99 ms\t")
	var names []verbenastand.ServiceName
	for n := range r.services {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		s := r.services[n]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", n, s.requests, s.complete, s.wrong,
			s.verdicts[verbenastand.Ran], s.verdicts[verbenastand.NotRun], s.verdicts[verbenastand.MayHaveRun],
			float64(s.latency.ValueAtQuantile(50))/1000, float64(s.latency.ValueAtQuantile(99))/1000)
	}
	return w.Flush()
}
