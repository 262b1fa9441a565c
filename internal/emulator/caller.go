package emulator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/api"
)

// CallerConfig configures a Caller.
type CallerConfig struct {
	// APIAddresses are the API addresses of the hosts for lookups.
	APIAddresses []string
	// Zone is the availability zone of the caller, empty to omit it.
	Zone verbenastand.Zone
	// MaxRetries is the maximum number of retries of a request.
	MaxRetries int
}

// Request is a request of a caller.
type Request struct {
	Service verbenastand.ServiceName
	Method  string
	Path    string
	// ID is echoed by the server.
	ID   string
	Body []byte
	// Size is the minimum size of the response in bytes.
	Size    int
	WorkMs  int
	Timeout time.Duration
	// Keyed requests are sent with an idempotency key.
	Keyed bool
}

// Result is the outcome of a request as seen by the caller.
type Result struct {
	// ID is the ID of the request.
	ID string
	// Verdict is the verdict of the last attempt.
	Verdict verbenastand.Verdict
	// NeverRan is set if every attempt got the verdict notRun.
	NeverRan bool
	// Status is the HTTP status, zero if no complete response was read.
	Status int
	Reason string
	// Complete is set if the response is complete and belongs to the request.
	Complete bool
	// ResponseError describes the error in a response with status 200 that is
	// incomplete or belongs to another request.
	ResponseError string
	// Key is the idempotency key of the last attempt.
	Key string
	// NotRunKeys are earlier keys that were replaced after the verdict notRun.
	NotRunKeys []string
	// Attempts is the number of attempts, including those whose host lookup failed.
	Attempts int
	Took     time.Duration
}

// cachedLookup is a lookup response that is valid until expiry.
type cachedLookup struct {
	hosts  []api.AnswerHost
	expiry time.Time
}

// Caller looks up which hosts to use, caches the response for its validity, and
// sends requests as described in docs/CALLERS.md.
type Caller struct {
	config      CallerConfig
	client      *http.Client
	nonce       atomic.Uint64
	nextAddress atomic.Uint64

	mu      sync.Mutex
	lookups map[verbenastand.ServiceName]cachedLookup
}

// NewCaller returns a caller.
func NewCaller(c CallerConfig) *Caller {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	return &Caller{config: c, client: &http.Client{Transport: transport}, lookups: make(map[verbenastand.ServiceName]cachedLookup)}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// ClearCache clears the cached lookup responses.
func (c *Caller) ClearCache() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.lookups)
}

// Hosts returns the hosts to use for a service, from the cache or by a lookup.
func (c *Caller) Hosts(ctx context.Context, s verbenastand.ServiceName) ([]api.AnswerHost, error) {
	c.mu.Lock()
	cached := c.lookups[s]
	c.mu.Unlock()
	if time.Now().Before(cached.expiry) {
		return cached.hosts, nil
	}
	start := c.nextAddress.Add(1)
	var errs []error
	for i := range c.config.APIAddresses {
		address := c.config.APIAddresses[(int(start)+i)%len(c.config.APIAddresses)]
		response, err := c.lookUp(ctx, address, s)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		cached = cachedLookup{hosts: response.Hosts, expiry: time.Now().Add(time.Duration(response.ValidForMs) * time.Millisecond)}
		c.mu.Lock()
		c.lookups[s] = cached
		c.mu.Unlock()
		return cached.hosts, nil
	}
	return nil, errors.Join(errs...)
}

func (c *Caller) lookUp(ctx context.Context, address string, s verbenastand.ServiceName) (*api.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	client, err := api.NewClient("http://"+address, api.WithClient(c.client))
	if err != nil {
		return nil, err
	}
	params := api.AskParams{Service: string(s)}
	if c.config.Zone != "" {
		params.Zone = api.NewOptString(string(c.config.Zone))
	}
	return client.Ask(ctx, params)
}

// Do sends a request and retries it up to MaxRetries times until it has a final
// result. Retries of a keyed request use the same key, or a new one after the verdict
// notRun.
func (c *Caller) Do(ctx context.Context, r Request) Result {
	start := time.Now()
	overall := Result{ID: r.ID, NeverRan: true}
	var host api.AnswerHost
	key := ""
	for attempt := 0; ; attempt++ {
		hosts, err := c.Hosts(ctx, r.Service)
		if err != nil || len(hosts) == 0 {
			overall.Reason = fmt.Sprint(err)
			overall.Verdict = verbenastand.NotRun
		} else {
			if key == "" {
				host = hosts[attempt%len(hosts)]
			}
			if r.Keyed && key == "" {
				key = host.KeyPrefix + r.ID + "-" + strconv.FormatUint(c.nonce.Add(1), 36)
			}
			target := host.Address
			if key != "" && attempt > 0 {
				target = hosts[attempt%len(hosts)].Address
			}
			result := c.Send(ctx, target, r, key, attempt)
			result.NotRunKeys, result.Attempts = overall.NotRunKeys, attempt+1
			result.NeverRan = overall.NeverRan && result.Verdict == verbenastand.NotRun
			overall = result
		}
		overall.Took = time.Since(start)
		final := overall.Complete || overall.Status != 0 && overall.Verdict == verbenastand.Ran
		if final || attempt >= c.config.MaxRetries || ctx.Err() != nil {
			return overall
		}
		if key != "" && overall.Verdict == verbenastand.NotRun {
			if overall.Status != 0 {
				overall.NotRunKeys = append(overall.NotRunKeys, key)
			}
			key = ""
		}
		pause(ctx, time.Duration(attempt+1)*20*time.Millisecond)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Send sends a request once to an address, with a key if it is not empty.
func (c *Caller) Send(ctx context.Context, address string, r Request, key string, attempt int) Result {
	result := Result{ID: r.ID, Verdict: verbenastand.MayHaveRun, Key: key}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?id=%s&size=%d", address, r.Path, r.ID, r.Size)
	if r.WorkMs > 0 {
		url += fmt.Sprintf("&workMs=%d", r.WorkMs)
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, url, bytes.NewReader(r.Body))
	if err != nil {
		result.Reason = err.Error()
		return result
	}
	if key != "" {
		// Without GetBody the transport does not retry a request with a body by itself.
		request.GetBody = nil
		request.Header.Set(verbenastand.HeaderIdempotencyKey, key)
	}
	request.Header.Set(verbenastand.HeaderService, string(r.Service))
	request.Header.Set(verbenastand.HeaderTimeout, strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	response, err := c.client.Do(request)
	if err != nil {
		result.Reason = err.Error()
		if errors.Is(err, syscall.ECONNREFUSED) && attempt == 0 {
			result.Verdict = verbenastand.NotRun
		}
		return result
	}
	defer func() { _ = response.Body.Close() }()
	return c.read(response, r, result)
}

func (c *Caller) read(response *http.Response, r Request, result Result) Result {
	result.Status = response.StatusCode
	result.Reason = response.Header.Get(verbenastand.HeaderReason)
	result.Verdict = parseVerdict(response.Header.Get(verbenastand.HeaderVerdict))
	body, err := io.ReadAll(response.Body)
	if err != nil {
		result.Reason = err.Error()
		result.Status = 0
		return result
	}
	if response.StatusCode != http.StatusOK {
		return result
	}
	result.Complete = true
	want := fmt.Sprintf("id=%s server=", r.ID)
	size := max(r.Size, len(r.Body))
	if !strings.HasPrefix(string(body[:min(len(body), 200)]), want) || len(body) < size {
		result.Complete = false
		result.ResponseError = fmt.Sprintf("want a response to %q of %d bytes, got %d bytes: %.80q", r.ID, size, len(body), body)
	}
	return result
}

func parseVerdict(text string) verbenastand.Verdict {
	switch text {
	case verbenastand.NotRun.String():
		return verbenastand.NotRun
	case verbenastand.Ran.String():
		return verbenastand.Ran
	}
	return verbenastand.MayHaveRun
}
