// Package reporter parses what backend servers report about themselves in response
// headers.
package reporter

import (
	"net/http"
	"strconv"
	"strings"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/scheduler"
)

// loadMetric is the ORCA named metric for the requests in flight at a server. If it
// is missing, application_utilization, a fraction of the slots, is used.
const (
	loadMetric        = "named_metrics.requests_in_flight"
	utilizationMetric = "application_utilization"
	textFormat        = "TEXT "
)

// Read parses a server's report: its load in the text format of Open Request Cost
// Aggregation (ORCA), its instance and whether it is draining.
func Read(h http.Header, slots int) scheduler.Report {
	report := scheduler.NoReport
	report.Instance = h.Get(verbenastand.HeaderServerInstance)
	report.Draining = h.Get(verbenastand.HeaderServerDraining) == "true"
	text, ok := strings.CutPrefix(h.Get(verbenastand.HeaderLoad), textFormat)
	if !ok {
		return report
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || !(number >= 0) || number > 1e6 {
			continue
		}
		switch name {
		case loadMetric:
			report.InFlight = int(number)
			return report
		case utilizationMetric:
			report.InFlight = int(number*float64(slots) + 0.5)
		}
	}
	return report
}
