// Package classifier assigns each request a priority, a size and an expected
// duration, from the operator's rules and from the measured durations of earlier
// requests to the same route. Rules take precedence.
package classifier

import (
	"math"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	// maxRoutes is the maximum number of routes tracked for one service.
	maxRoutes = 256
	// sampleWeight is the weight of a new sample in a route's moving average.
	sampleWeight = 0.05
	// minSamples is the number of samples from which a route's mean is used.
	minSamples = 8
	// baseUpdateInterval is the number of requests between two updates of the
	// base duration.
	baseUpdateInterval = 64
	// commonDivisor sets the share of requests from which a route counts as
	// common: 1/commonDivisor.
	commonDivisor = 20
	// longFactor times the base duration is the duration above which a route is
	// long.
	longFactor = 6
	// minLong is the duration up to which no route is long.
	minLong = 20 * time.Millisecond
	// workWeight is the weight of a request of mean duration in the moving
	// average of the share of long work. maxWorkWeight is the maximum weight of
	// one request.
	workWeight    = 0.002
	maxWorkWeight = 0.05
	// defaultDuration is the expected duration without any samples.
	defaultDuration = 10 * time.Millisecond
)

// Class is the classification of a request.
type Class struct {
	priority verbenastand.Priority
	size     verbenastand.Size
	expected time.Duration
	route    *route
}

// Priority returns the priority of the request.
func (c Class) Priority() verbenastand.Priority { return c.priority }

// Size returns whether the request is short or long.
func (c Class) Size() verbenastand.Size { return c.size }

// Route returns the name of the request's route, empty if there are too many routes.
func (c Class) Route() verbenastand.RouteName { return c.route.name }

// Expected returns the expected duration of the request.
func (c Class) Expected() time.Duration { return c.expected }

// route holds the moving average of the durations of one route.
type route struct {
	name    verbenastand.RouteName
	mean    atomic.Uint64
	samples atomic.Uint64
}

func (r *route) duration() time.Duration {
	return time.Duration(math.Float64frombits(r.mean.Load()))
}

func (r *route) addSample(d time.Duration) {
	n := r.samples.Add(1)
	weight := max(sampleWeight, 1/float64(n))
	for {
		old := r.mean.Load()
		mean := math.Float64frombits(old)
		next := mean + weight*(float64(d)-mean)
		if r.mean.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// Classifier classifies the requests of one service. It is safe for concurrent
// use.
type Classifier struct {
	service atomic.Pointer[verbenastand.Service]
	routes  atomic.Pointer[map[string]*route]
	short   route
	// longWork is the fraction of the servers' time that long requests take.
	longWork atomic.Uint64
	meanWork route
	// baseDuration is the mean duration of the shortest common route, in
	// nanoseconds.
	baseDuration atomic.Int64
	routesMu     sync.Mutex
}

// NewClassifier returns a classifier for a service.
func NewClassifier(s verbenastand.Service) *Classifier {
	c := &Classifier{}
	c.routes.Store(&map[string]*route{})
	c.Update(s)
	return c
}

// Update replaces the rules.
func (c *Classifier) Update(s verbenastand.Service) { c.service.Store(&s) }

// Classify returns the class of a request. Requests with an idempotency key get
// the priority paid.
func (c *Classifier) Classify(method, path string, keyed bool) Class {
	class := Class{priority: verbenastand.PriorityNormal, expected: defaultDuration}
	rule, matched := c.match(method, path)
	if matched {
		class.priority = rule.Priority()
	}
	if keyed {
		class.priority = verbenastand.PriorityPaid
	}
	class.route = c.route(method, path)
	hasSamples := class.route.samples.Load() >= minSamples
	if hasSamples {
		class.expected = class.route.duration()
	} else if c.short.samples.Load() >= minSamples {
		class.expected = c.short.duration()
	}
	size, isSet := rule.Size()
	if isSet {
		class.size = size
		return class
	}
	if hasSamples && c.isLong(class.expected) {
		class.size = verbenastand.Long
	}
	return class
}

func (c *Classifier) isLong(d time.Duration) bool {
	baseDuration := time.Duration(c.baseDuration.Load())
	return baseDuration > 0 && d > minLong && d > longFactor*baseDuration
}

// updateBase sets the base duration to that of the shortest common route. The mean
// of all short requests is not suitable: routes that are long but still classified
// as short would raise it, and would then never be classified as long.
func (c *Classifier) updateBase() {
	total := c.meanWork.samples.Load()
	var baseDuration time.Duration
	for _, r := range *c.routes.Load() {
		n := r.samples.Load()
		if n < minSamples || n*commonDivisor < total {
			continue
		}
		if d := r.duration(); baseDuration == 0 || d < baseDuration {
			baseDuration = d
		}
	}
	c.baseDuration.Store(int64(baseDuration))
}

func (c *Classifier) match(method, path string) (verbenastand.Rule, bool) {
	for _, r := range c.service.Load().Rules() {
		if r.Method() != "" && r.Method() != method {
			continue
		}
		if strings.HasPrefix(path, r.PathPrefix()) {
			return r, true
		}
	}
	return verbenastand.Rule{}, false
}

// Observe records the duration of a request at its server.
func (c *Classifier) Observe(class Class, d time.Duration) {
	class.route.addSample(d)
	c.updateLongWork(class.size, d)
	if c.meanWork.samples.Load()%baseUpdateInterval == 0 {
		c.updateBase()
	}
	if class.size == verbenastand.Short {
		c.short.addSample(d)
	}
}

// updateLongWork updates the share of long work. Each request is weighted by its
// duration, so that the moving average is a share of time, not of requests.
func (c *Classifier) updateLongWork(size verbenastand.Size, d time.Duration) {
	mean := c.meanWork.duration()
	c.meanWork.addSample(d)
	if mean <= 0 {
		return
	}
	weight := min(maxWorkWeight, workWeight*float64(d)/float64(mean))
	target := 0.0
	if size == verbenastand.Long {
		target = 1
	}
	for {
		old := c.longWork.Load()
		share := math.Float64frombits(old)
		next := share + weight*(target-share)
		if c.longWork.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// LongWork returns the fraction of the servers' time that long requests take.
func (c *Classifier) LongWork() float64 { return math.Float64frombits(c.longWork.Load()) }

// MeanShort returns the mean duration of short requests.
func (c *Classifier) MeanShort() time.Duration {
	if c.short.samples.Load() == 0 {
		return defaultDuration
	}
	return c.short.duration()
}

// route returns the route of a request, by its method and first path segment, and
// adds it if needed. Routes beyond maxRoutes share one entry.
func (c *Classifier) route(method, path string) *route {
	segment := firstSegment(path)
	routes := *c.routes.Load()
	if r, ok := routes[segment]; ok && safeMethod(method) {
		return r
	}
	key := segment
	if !safeMethod(method) {
		key = method + " " + segment
	}
	if r, ok := routes[key]; ok {
		return r
	}
	return c.addRoute(key)
}

func (c *Classifier) addRoute(key string) *route {
	c.routesMu.Lock()
	defer c.routesMu.Unlock()
	old := *c.routes.Load()
	if len(old) >= maxRoutes {
		key = ""
	}
	if r, ok := old[key]; ok {
		return r
	}
	next := make(map[string]*route, len(old)+1)
	for k, r := range old {
		next[k] = r
	}
	key = strings.Clone(key)
	added := &route{name: verbenastand.RouteName(key)}
	next[key] = added
	c.routes.Store(&next)
	return added
}

func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

func firstSegment(path string) string {
	if len(path) < 2 {
		return path
	}
	if end := strings.IndexByte(path[1:], '/'); end >= 0 {
		return path[:end+1]
	}
	return path
}
