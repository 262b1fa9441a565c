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
	f := r.services[service]
	if f == nil {
		f = &serviceStats{latency: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
		r.services[service] = f
	}
	f.requests++
	f.verdicts[result.Verdict]++
	if result.ResponseError != "" {
		f.wrong++
	}
	if result.Complete {
		f.complete++
		_ = f.latency.RecordValue(result.Took.Microseconds())
	}
}

// Wrong returns the number of wrong responses.
func (r *Report) Wrong() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	wrong := 0
	for _, f := range r.services {
		wrong += f.wrong
	}
	return wrong
}

// Print writes the statistics as a table.
func (r *Report) Print(out io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "service\trequests\twhole\twrong\tran\tnot run\tmay have run\tp50 ms\tp99 ms\t")
	var names []verbenastand.ServiceName
	for n := range r.services {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		f := r.services[n]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", n, f.requests, f.complete, f.wrong,
			f.verdicts[verbenastand.Ran], f.verdicts[verbenastand.NotRun], f.verdicts[verbenastand.MayHaveRun],
			float64(f.latency.ValueAtQuantile(50))/1000, float64(f.latency.ValueAtQuantile(99))/1000)
	}
	return w.Flush()
}
