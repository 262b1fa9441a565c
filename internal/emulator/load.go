package emulator

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	defaultTimeout    = 2 * time.Second
	longResponseBytes = 300_000
	paidBody          = "tin"
)

// LoadConfig configures a Load.
type LoadConfig struct {
	Deployment Deployment
	Caller     CallerConfig
	// Rate is the mean number of requests per second. Arrivals are a Poisson process.
	Rate float64
	Seed uint64
}

// Load sends requests in the mix of a deployment at a mean rate, without waiting for
// responses (open loop).
type Load struct {
	config LoadConfig
	caller *Caller
	random *rand.Rand
	report *Report

	mu      sync.Mutex
	results []Result
}

// NewLoad returns a load.
func NewLoad(c LoadConfig) *Load {
	return &Load{config: c, caller: NewCaller(c.Caller), random: rand.New(rand.NewPCG(c.Seed, 1)), report: NewReport()}
}

// Report returns the statistics of the completed requests.
func (l *Load) Report() *Report { return l.report }

// Results returns the results of the completed requests.
func (l *Load) Results() []Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.results
}

// Run sends requests until ctx ends and then waits for those in progress.
func (l *Load) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer l.caller.Close()
	defer wg.Wait()
	for n := 0; ; n++ {
		pause(ctx, time.Duration(l.random.ExpFloat64()/l.config.Rate*float64(time.Second)))
		if ctx.Err() != nil {
			return
		}
		request := l.randomRequest(n)
		wg.Go(func() {
			result := l.caller.Do(context.WithoutCancel(ctx), request)
			l.report.Add(request.Service, result)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.results = append(l.results, result)
		})
	}
}

// randomRequest returns the n-th request, drawn from the mix of the deployment.
func (l *Load) randomRequest(n int) Request {
	totalWeight := 0
	for _, s := range l.config.Deployment.Services {
		totalWeight += s.Weight
	}
	remaining := l.random.IntN(totalWeight)
	for _, s := range l.config.Deployment.Services {
		remaining -= s.Weight
		if remaining < 0 {
			return l.randomRequestTo(s, n)
		}
	}
	return Request{}
}

func (l *Load) randomRequestTo(s DeploymentService, n int) Request {
	r := Request{Service: s.Name, Method: http.MethodGet, Path: "/short/", ID: "load-" + strconv.Itoa(n), Timeout: defaultTimeout}
	switch x := l.random.Float64(); {
	case x < s.LongShare:
		r.Path, r.Size = "/long/", longResponseBytes
	case x < s.LongShare+s.NonIdempotentShare:
		r.Method, r.Path, r.Body, r.Keyed = http.MethodPost, "/paid/", []byte(paidBody), true
	}
	return r
}
