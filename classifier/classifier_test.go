package classifier

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

func newClassifier(rules ...verbenastand.Rule) *Classifier {
	return NewClassifier(verbenastand.NewService(verbenastand.ServiceConfig{Name: "s", Rules: rules}))
}

// observeRequests classifies and records requests, of which longPercent percent
// are long from the start.
func observeRequests(c *Classifier, longPercent int) {
	for i := range 4000 {
		path, d := "/tins/1", 10*time.Millisecond
		if i*37%100 < longPercent {
			path, d = "/video/1", 150*time.Millisecond
		}
		c.Observe(c.Classify(http.MethodGet, path, false), d)
	}
}

func TestLongRoutesAreDetectedAtAnyShare(t *testing.T) {
	for _, percent := range []int{2, 10, 30, 60, 90} {
		t.Run(fmt.Sprint(percent), func(t *testing.T) {
			c := newClassifier()
			observeRequests(c, percent)
			require.Equal(t, verbenastand.Short, c.Classify(http.MethodGet, "/tins/7", false).Size())
			require.Equal(t, verbenastand.Long, c.Classify(http.MethodGet, "/video/7", false).Size())
			work := float64(percent) * 150 / (float64(percent)*150 + float64(100-percent)*10)
			require.InDelta(t, work, c.LongWork(), 0.2)
		})
	}
}

func TestRulesTakePrecedence(t *testing.T) {
	short := verbenastand.Short
	c := newClassifier(verbenastand.NewRule(verbenastand.RuleConfig{PathPrefix: "/video", Priority: verbenastand.PriorityBackground, Size: &short}))
	observeRequests(c, 10)
	class := c.Classify(http.MethodGet, "/video/7", false)
	require.Equal(t, verbenastand.Short, class.Size())
	require.Equal(t, verbenastand.PriorityBackground, class.Priority())
	require.Equal(t, verbenastand.PriorityPaid, c.Classify(http.MethodPost, "/video/7", true).Priority(), "requests with an idempotency key are paid")
}

func TestRoutesAreBounded(t *testing.T) {
	c := newClassifier()
	for i := range 10 * maxRoutes {
		c.Classify(http.MethodGet, fmt.Sprintf("/route-%d/x", i), false)
	}
	require.LessOrEqual(t, len(*c.routes.Load()), maxRoutes+1)
}
