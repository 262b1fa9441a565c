// Package reader is an HTTP client of the platform's configuration service and host
// list.
package reader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/splitter"
	"github.com/verbenastand/verbenastand/merger"
)

const (
	// DefaultMaxBytes bounds a response if its configuration doesn't.
	DefaultMaxBytes = 64 << 20
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
)

// Config configures a Reader.
type Config struct {
	// URL is the base URL of the platform.
	URL string
	// MaxBytes bounds the body of a response; zero for DefaultMaxBytes.
	MaxBytes int64
}

// Reader implements verbenastand.TicketSource and verbenastand.HostLister.
type Reader struct {
	config Config
	client *http.Client

	mu    sync.Mutex
	cache map[string]cachedResponse
}

// cachedResponse is a response that the platform can revalidate by its ETag.
type cachedResponse struct {
	etag string
	body []byte
}

// NewReader returns a reader.
func NewReader(c Config) *Reader {
	if c.MaxBytes == 0 {
		c.MaxBytes = DefaultMaxBytes
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = maxHeaderBytes
	return &Reader{config: c, client: &http.Client{Transport: transport}, cache: make(map[string]cachedResponse)}
}

// Tickets returns the tickets with a number above after. While the response would
// be the same as the last one, the platform delays it for up to wait.
func (r *Reader) Tickets(ctx context.Context, after verbenastand.TicketNumber, wait time.Duration) ([][]byte, error) {
	path := "/v1/tickets?after=" + strconv.FormatUint(uint64(after), 10)
	body, err := r.get(ctx, path, wait)
	if err != nil {
		return nil, err
	}
	tickets, err := splitter.Split(body)
	if err != nil {
		return nil, fmt.Errorf("reader: tickets: %w", err)
	}
	return tickets, nil
}

// hostEntry is a host in the platform's host list.
type hostEntry struct {
	Host        string `json:"host"`
	Zone        string `json:"zone"`
	PeerAddress string `json:"peerAddress"`
	Leaving     bool   `json:"leaving"`
}

// Hosts returns the platform's host list without malformed entries.
func (r *Reader) Hosts(ctx context.Context) ([]verbenastand.Host, error) {
	body, err := r.get(ctx, "/v1/hosts", 0)
	if err != nil {
		return nil, err
	}
	entries, err := splitter.Split(body)
	if err != nil {
		return nil, fmt.Errorf("reader: hosts: %w", err)
	}
	var hosts []verbenastand.Host
	for _, data := range entries {
		var e hostEntry
		if json.Unmarshal(data, &e) != nil {
			continue
		}
		if _, err := netip.ParseAddrPort(e.PeerAddress); err != nil || !verbenastand.ValidName(e.Host) {
			continue
		}
		hosts = append(hosts, verbenastand.NewHost(verbenastand.HostConfig{
			Instance: verbenastand.NewInstance(verbenastand.HostID(e.Host), 0),
			Zone:     verbenastand.Zone(e.Zone), PeerAddress: e.PeerAddress, Leaving: e.Leaving,
		}))
	}
	return hosts, nil
}

// get reads a path. If a response is cached, the request is conditional, so that the
// platform does not send an unchanged body again.
func (r *Reader) get(ctx context.Context, path string, wait time.Duration) ([]byte, error) {
	url := r.config.URL + path
	if wait > 0 {
		url += "&waitMs=" + strconv.FormatInt(wait.Milliseconds(), 10)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("reader: %w", err)
	}
	r.mu.Lock()
	cached, known := r.cache[path]
	r.mu.Unlock()
	if known {
		request.Header.Set("If-None-Match", cached.etag)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("reader: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := verbenastand.CheckResponse(response); err != nil {
		return nil, fmt.Errorf("reader: %s: %w", path, err)
	}
	if known && response.StatusCode == http.StatusNotModified {
		return cached.body, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("reader: %s: status %d", path, response.StatusCode)
	}
	body, err := r.readBody(response)
	if err != nil {
		return nil, fmt.Errorf("reader: %s: %w", path, err)
	}
	if etag := response.Header.Get("ETag"); etag != "" && len(body) <= merger.MaxTicketBytes {
		r.store(path, cachedResponse{etag: etag, body: body})
	}
	return body, nil
}

// ErrTooLong means that a response of the platform is longer than this host may hold.
var ErrTooLong = errors.New("reader: the response is too long")

func (r *Reader) readBody(response *http.Response) ([]byte, error) {
	if response.ContentLength > r.config.MaxBytes {
		return nil, ErrTooLong
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, r.config.MaxBytes+1))
	if err == nil && int64(len(body)) > r.config.MaxBytes {
		err = ErrTooLong
	}
	return body, err
}

// store caches a response. A full cache is cleared: most of its entries are for
// earlier ticket numbers, which are not requested again.
func (r *Reader) store(path string, response cachedResponse) {
	const maxCached = 4
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.cache) >= maxCached {
		clear(r.cache)
	}
	r.cache[path] = response
}
