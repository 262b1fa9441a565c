package explainer

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	svg "github.com/ajstarks/svgo"
)

const (
	// refusedEvent and answeredEvent are the events that end a request.
	refusedEvent  = "refused"
	answeredEvent = "answered"
	// bucketWidth is the time that one bucket of a summary covers.
	bucketWidth = time.Second
	// maxBuckets bounds the buckets of a summary; for longer spans the buckets are
	// wider.
	maxBuckets = 120
)

// Cause is a cause of failed requests, with the number of failures in each bucket.
type Cause struct {
	Name   string
	Total  int
	Counts []int
}

// Summary holds the failures of a log by cause over time.
type Summary struct {
	Start       time.Time
	BucketWidth time.Duration
	Causes      []Cause
}

// causeOf returns the cause of a request's failure, empty if it succeeded in time.
func causeOf(line Line) string {
	switch {
	case line.Event == refusedEvent:
		return line.Text("reason")
	case line.Event != answeredEvent:
		return ""
	case line.Text("status") >= "500":
		return "serverAnswered" + line.Text("status")
	case line.Text("late") == "true":
		return "late"
	}
	return ""
}

// Summary counts failures by cause.
func (l *Log) Summary() Summary {
	var failures []Line
	for _, line := range l.lines {
		if causeOf(line) != "" {
			failures = append(failures, line)
		}
	}
	if len(failures) == 0 {
		return Summary{BucketWidth: bucketWidth}
	}
	slices.SortFunc(failures, byTime)
	s := Summary{Start: failures[0].At.Truncate(bucketWidth), BucketWidth: bucketWidth}
	span := failures[len(failures)-1].At.Sub(s.Start)
	for span/s.BucketWidth >= maxBuckets {
		s.BucketWidth *= 2
	}
	buckets := int(span/s.BucketWidth) + 1
	causes := make(map[string]*Cause)
	for _, line := range failures {
		name := causeOf(line)
		c := causes[name]
		if c == nil {
			c = &Cause{Name: name, Counts: make([]int, buckets)}
			causes[name] = c
		}
		c.Total++
		c.Counts[line.At.Sub(s.Start)/s.BucketWidth]++
	}
	for _, c := range causes {
		s.Causes = append(s.Causes, *c)
	}
	slices.SortFunc(s.Causes, func(a, b Cause) int { return cmp.Or(b.Total-a.Total, cmp.Compare(a.Name, b.Name)) })
	return s
}

// Write prints a table: one row for each cause, with its total and its peak
// bucket.
func (s Summary) Write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%-24s %8s %8s  %s\n", "cause", "total", "worst", "worst at")
	for _, c := range s.Causes {
		peakIndex, peak := 0, 0
		for i, n := range c.Counts {
			if n > peak {
				peakIndex, peak = i, n
			}
		}
		_, _ = fmt.Fprintf(w, "%-24s %8d %8d  %s\n", c.Name, c.Total, peak, s.Start.Add(time.Duration(peakIndex)*s.BucketWidth).UTC().Format(time.TimeOnly))
	}
}

const (
	plotWidth   = 960
	rowHeight   = 64
	plotMargin  = 24
	labelOffset = 14
	barStyle    = "fill:#7a3f8f"
	textStyle   = "font-family:sans-serif;font-size:12px"
)

// Plot draws a row of bars for each cause, as SVG.
func (s Summary) Plot(w io.Writer) {
	canvas := svg.New(w)
	canvas.Start(plotWidth, plotMargin+rowHeight*max(1, len(s.Causes)))
	for row, c := range s.Causes {
		top := plotMargin + row*rowHeight
		peak := slices.Max(c.Counts)
		canvas.Text(0, top-2, fmt.Sprintf("%s: %d, at most %d in %s", c.Name, c.Total, peak, s.BucketWidth), textStyle)
		width := max(1, plotWidth/len(c.Counts))
		for i, n := range c.Counts {
			height := n * (rowHeight - labelOffset - plotMargin) / peak
			canvas.Rect(i*width, top+rowHeight-plotMargin-height, max(1, width-1), height, barStyle)
		}
	}
	canvas.End()
}
