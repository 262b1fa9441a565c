package dispatcher_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/connector"
	"github.com/verbenastand/verbenastand/deduplicator"
	"github.com/verbenastand/verbenastand/dispatcher"
	"github.com/verbenastand/verbenastand/excluder"
	"github.com/verbenastand/verbenastand/hedger"
	"github.com/verbenastand/verbenastand/internal/bounder"
	"github.com/verbenastand/verbenastand/internal/fake"
	"github.com/verbenastand/verbenastand/limiter"
	"github.com/verbenastand/verbenastand/merger"
	"github.com/verbenastand/verbenastand/meter"
	"github.com/verbenastand/verbenastand/quarantiner"
	"github.com/verbenastand/verbenastand/registrar"
	"github.com/verbenastand/verbenastand/scheduler"
	"github.com/verbenastand/verbenastand/verifier"
)

func init() { verifier.SetStrict(true) }

var (
	host      = verbenastand.NewHost(verbenastand.HostConfig{Instance: verbenastand.NewInstance("host-a", 1), Zone: "zone-a"})
	otherHost = verbenastand.NewHost(verbenastand.HostConfig{Instance: verbenastand.NewInstance("host-b", 1), Zone: "zone-b"})
)

// proxy is a dispatcher whose servers and peers are stub functions.
type proxy struct {
	*dispatcher.Dispatcher
	clock       *fake.Clock
	merger      *merger.Merger
	registrar   *registrar.Registrar
	quarantiner *quarantiner.Quarantiner
	limiter     *limiter.Limiter
	excluder    *excluder.Excluder
	keys        *deduplicator.Deduplicator
	hosts       []verbenastand.Host
	server      func(verbenastand.Server, *http.Request) (*http.Response, error)
	peer        func(verbenastand.Host, *http.Request) (*http.Response, error)
	sent        atomic.Int32
	notified    atomic.Int32
	// cut is set while the host reaches no server.
	cut atomic.Bool
	// unreached is set if no other server responds than the one that failed.
	unreached atomic.Bool
	// accepting is set if servers accept new connections.
	accepting atomic.Bool
	// memory provides the memory for bodies; nil if it isn't bounded.
	memory bounder.Source
}

func (p *proxy) Cut(verbenastand.ServiceName) bool { return p.cut.Load() }
func (p *proxy) Stalled(verbenastand.Server)       {}

func (p *proxy) ReachesOthers(verbenastand.ServiceName, verbenastand.ServerID) bool {
	return !p.unreached.Load()
}
func (p *proxy) Accepts(context.Context, verbenastand.Loss) bool { return p.accepting.Load() }

func (p *proxy) Self() verbenastand.Host    { return host }
func (p *proxy) Hosts() []verbenastand.Host { return p.hosts }
func (p *proxy) Find(id verbenastand.HostID) (verbenastand.Host, bool) {
	for _, h := range p.hosts {
		if h.ID() == id {
			return h, true
		}
	}
	return verbenastand.Host{}, false
}

func (p *proxy) KeyOwner(i verbenastand.Instance) (verbenastand.Host, bool) {
	h, found := p.Find(i.Host())
	return h, found && h.Instance() == i
}

func (p *proxy) Handover(context.Context, verbenastand.Host, []byte) error { return nil }

func (p *proxy) RoundTrip(server verbenastand.Server, r *http.Request) (*http.Response, error) {
	p.sent.Add(1)
	response, err := p.server(server, r)
	if response != nil {
		response.Request = r
	}
	return response, err
}

func (p *proxy) Exchange(context.Context, verbenastand.Host, []byte) ([]byte, error) { return nil, nil }
func (p *proxy) TicketSource(verbenastand.Host) verbenastand.TicketSource            { return nil }
func (p *proxy) Forward(h verbenastand.Host, r *http.Request) (*http.Response, error) {
	return p.peer(h, r)
}

func newProxy(serverCount int, requireKey bool) *proxy {
	return newHedgingProxy(serverCount, requireKey, nil)
}

// newHedgingProxy returns a proxy with the limit of extra server time.
func newHedgingProxy(serverCount int, requireKey bool, hedgeLimit *float64) *proxy {
	p := &proxy{clock: fake.NewClock(), hosts: []verbenastand.Host{host}}
	var serviceRegistrar *registrar.Registrar
	p.merger = merger.NewMerger(merger.Config{OnChange: func(*verbenastand.Configuration) { serviceRegistrar.Update() }})
	p.limiter = limiter.NewLimiter(limiter.Config{
		Clock: p.clock, Self: host.ID(), Hosts: func(verbenastand.ServerProcess) []verbenastand.Host { return p.Hosts() },
	})
	p.excluder = excluder.NewExcluder(excluder.Config{Clock: p.clock})
	serviceRegistrar = registrar.NewRegistrar(registrar.Config{
		Clock: p.clock, Self: host, Configuration: p.merger, Hosts: p.Hosts, Limiter: p.limiter, Excluder: p.excluder,
	})
	p.registrar = serviceRegistrar
	p.quarantiner = quarantiner.NewQuarantiner(quarantiner.Config{Clock: p.clock})
	p.keys = deduplicator.NewDeduplicator(deduplicator.Config{Clock: p.clock, Instance: host.Instance()})
	p.Dispatcher = dispatcher.NewDispatcher(dispatcher.Config{
		Timer: p.clock, Self: host, Membership: p, Registrar: serviceRegistrar, Deduplicator: p.keys,
		Quarantiner: p.quarantiner, Limiter: p.limiter, Excluder: p.excluder, Reachability: p,
		Peers: p, Servers: p, Meter: meter.NewMeter(), Tracer: noop.NewTracerProvider().Tracer(""),
		MaxBody: 1 << 20, MaxConcurrent: 1000, StallTimeout: time.Second,
		Memory:           func(context.Context) bounder.Source { return p.memory },
		ReadAhead:        true,
		OnDrainNotice:    func(verbenastand.ServiceName, scheduler.DrainNotice) {},
		OnCrashSuspected: func([]verbenastand.Host, quarantiner.Suspect) { p.notified.Add(1) },
		Hedger:           hedger.NewHedger(hedger.Config{Clock: p.clock, Limit: hedgeLimit}),
	})
	p.applyTicket(1, serverCount, requireKey)
	for range 100 {
		serviceRegistrar.Find("tins").Budget().Deposit(false)
	}
	return p
}

func (p *proxy) applyTicket(number verbenastand.TicketNumber, serverCount int, requireKey bool) {
	ticket := merger.Ticket{Number: number, Services: []merger.ServiceObject{{Name: "tins", Timeout: "2s", RequireKey: requireKey}}}
	for i := range serverCount {
		ticket.Servers = append(ticket.Servers, merger.ServerObject{
			ID: verbenastand.ServerID(fmt.Sprint("server-", i)), Service: "tins", Zone: "zone-a",
			Address: fmt.Sprintf("127.0.0.1:%d", i+1),
		})
	}
	p.merger.Merge(ticket)
}

func newResponse(status int, header http.Header, body io.Reader, length int64) *http.Response {
	if header == nil {
		header = http.Header{}
	}
	return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(body), ContentLength: length, Trailer: http.Header{}}
}

func okResponse(text string) *http.Response {
	return newResponse(http.StatusOK, nil, strings.NewReader(text), int64(len(text)))
}

func connectionLost() error {
	return verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonServerFailed, connector.ErrConnectionLost)
}

func newRequest(method, path, body, key string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set(verbenastand.HeaderService, "tins")
	if key != "" {
		r.Header.Set(verbenastand.HeaderIdempotencyKey, key)
	}
	return r
}

func (p *proxy) do(r *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	p.ServeHTTP(w, r)
	return w
}

func requireVerdict(t *testing.T, w *httptest.ResponseRecorder, status int, v verbenastand.Verdict, reason string) {
	t.Helper()
	require.Equal(t, status, w.Code, w.Body.String())
	require.Equal(t, v.String(), w.Header().Get(verbenastand.HeaderVerdict))
	require.Equal(t, reason, w.Header().Get(verbenastand.HeaderReason))
}

func TestVerdictsAndRetries(t *testing.T) {
	refused := verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonServerFailed, errors.New("refused"))
	shed := func() (*http.Response, error) {
		return newResponse(http.StatusServiceUnavailable, http.Header{verbenastand.HeaderVerdict: {"notRun"}}, http.NoBody, 0), nil
	}
	failWith := func(err error) func() (*http.Response, error) {
		return func() (*http.Response, error) { return nil, err }
	}
	cases := []struct {
		name    string
		method  string
		first   func() (*http.Response, error)
		sent    int32
		status  int
		verdict verbenastand.Verdict
	}{
		{"GET to an unreachable server is retried", http.MethodGet, failWith(refused), 2, http.StatusOK, verbenastand.Ran},
		{"POST to an unreachable server is retried", http.MethodPost, failWith(refused), 2, http.StatusOK, verbenastand.Ran},
		{"POST refused by the server is retried", http.MethodPost, shed, 2, http.StatusOK, verbenastand.Ran},
		{"GET is retried after the server closed the connection", http.MethodGet, failWith(connectionLost()), 2, http.StatusOK, verbenastand.Ran},
		{"POST is not retried after the server closed the connection", http.MethodPost, failWith(connectionLost()), 1, http.StatusBadGateway, verbenastand.MayHaveRun},
		{"GET with a server error is retried", http.MethodGet, func() (*http.Response, error) {
			return newResponse(http.StatusInternalServerError, nil, http.NoBody, 0), nil
		}, 2, http.StatusOK, verbenastand.Ran},
		{"POST with a server error returns the error", http.MethodPost, func() (*http.Response, error) {
			return newResponse(http.StatusInternalServerError, nil, http.NoBody, 0), nil
		}, 1, http.StatusInternalServerError, verbenastand.Ran},
		{"GET with a truncated response is retried", http.MethodGet, func() (*http.Response, error) {
			return newResponse(http.StatusOK, nil, io.MultiReader(strings.NewReader("ti"), errReader{}), 3), nil
		}, 2, http.StatusOK, verbenastand.Ran},
		{"POST with a truncated response fails", http.MethodPost, func() (*http.Response, error) {
			return newResponse(http.StatusOK, nil, io.MultiReader(strings.NewReader("ti"), errReader{}), 3), nil
		}, 1, http.StatusBadGateway, verbenastand.MayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newProxy(3, false)
			p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) {
				if p.sent.Load() == 1 {
					return c.first()
				}
				return okResponse("tin"), nil
			}
			w := p.do(newRequest(c.method, "/tin", "body", ""))
			require.Equal(t, c.status, w.Code)
			require.Equal(t, c.verdict.String(), w.Header().Get(verbenastand.HeaderVerdict))
			require.Equal(t, c.sent, p.sent.Load())
		})
	}
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// When the server truncates a body that is too long to buffer, the status is
// already sent. Aborting the connection is then the only way to signal the error.
func TestTruncatedLongResponseAbortsTheConnection(t *testing.T) {
	p := newProxy(1, false)
	p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) {
		return newResponse(http.StatusOK, nil, io.MultiReader(bytes.NewReader(make([]byte, 200_000)), errReader{}), 300_000), nil
	}
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { p.do(newRequest(http.MethodGet, "/video", "", "")) })
}

// The first attempt may have run, and a later one is refused. Reporting only the
// verdict of the last attempt would wrongly report notRun to the caller.
func TestLaterRefusalKeepsMayHaveRun(t *testing.T) {
	refused := func() (*http.Response, error) {
		return nil, verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonServerFailed, errors.New("refused"))
	}
	cases := []struct {
		name  string
		first func() (*http.Response, error)
	}{
		{"connection closed", func() (*http.Response, error) { return nil, connectionLost() }},
		{"server error", func() (*http.Response, error) {
			return newResponse(http.StatusInternalServerError, nil, http.NoBody, 0), nil
		}},
		{"truncated response", func() (*http.Response, error) {
			return newResponse(http.StatusOK, nil, io.MultiReader(strings.NewReader("t"), errReader{}), 3), nil
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newProxy(3, false)
			p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) {
				if p.sent.Load() == 1 {
					return c.first()
				}
				return refused()
			}
			w := p.do(newRequest(http.MethodGet, "/tin", "", ""))
			require.Greater(t, p.sent.Load(), int32(1))
			require.Equal(t, verbenastand.MayHaveRun.String(), w.Header().Get(verbenastand.HeaderVerdict))
		})
	}
	t.Run("connection to home closed", func(t *testing.T) {
		p := newProxy(0, false)
		p.hosts = []verbenastand.Host{otherHost}
		p.applyTicket(2, 0, false)
		p.peer = func(verbenastand.Host, *http.Request) (*http.Response, error) {
			return nil, verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonKeyOwnerUnreachable, nil)
		}
		requireVerdict(t, p.do(newRequest(http.MethodGet, "/tin", "", "")), http.StatusServiceUnavailable, verbenastand.MayHaveRun, "noServer")
	})
	t.Run("connection to home closed, next one refuses", func(t *testing.T) {
		p := newProxy(0, false)
		p.hosts = []verbenastand.Host{otherHost, verbenastand.NewHost(verbenastand.HostConfig{Instance: verbenastand.NewInstance("host-c", 1), Zone: "zone-c"})}
		p.applyTicket(2, 0, false)
		contacted := 0
		p.peer = func(verbenastand.Host, *http.Request) (*http.Response, error) {
			if contacted++; contacted == 1 {
				return nil, verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonKeyOwnerUnreachable, nil)
			}
			return newResponse(http.StatusServiceUnavailable, http.Header{verbenastand.HeaderVerdict: {"notRun"}}, http.NoBody, 0), nil
		}
		requireVerdict(t, p.do(newRequest(http.MethodGet, "/tin", "", "")), http.StatusConflict, verbenastand.MayHaveRun, "homeGone")
	})
}

func TestRepeatedKeyRunsOnce(t *testing.T) {
	p := newProxy(2, true)
	release := make(chan struct{})
	p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) {
		<-release
		return newResponse(http.StatusCreated, http.Header{"Location": {"/tin/1"}}, strings.NewReader("tin"), 3), nil
	}
	key := p.keys.IssuePrefix() + "n"
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			w := p.do(newRequest(http.MethodPost, "/reserve", "tin", key))
			require.Equal(t, http.StatusCreated, w.Code)
			require.Equal(t, "/tin/1", w.Header().Get("Location"))
			require.Equal(t, "tin", w.Body.String())
		})
	}
	time.Sleep(20 * time.Millisecond)
	close(release)
	all.Wait()
	require.EqualValues(t, 1, p.sent.Load())
	requireVerdict(t, p.do(newRequest(http.MethodPost, "/reserve", "another tin", key)), http.StatusConflict, verbenastand.MayHaveRun, "keyConflict")
}

func TestKeyedRequestContinuesWhenCallerDisconnects(t *testing.T) {
	p := newProxy(1, true)
	p.server = func(_ verbenastand.Server, r *http.Request) (*http.Response, error) {
		require.NoError(t, r.Context().Err())
		return okResponse("tin"), nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	key := p.keys.IssuePrefix() + "n"
	p.do(newRequest(http.MethodPost, "/reserve", "", key).WithContext(ctx))
	w := p.do(newRequest(http.MethodPost, "/reserve", "", key))
	requireVerdict(t, w, http.StatusOK, verbenastand.Ran, "")
	require.EqualValues(t, 1, p.sent.Load())
}

// After the caller received notRun for a key, a delayed copy of the request arrives
// when a server is available again. It must get the same response and not run.
func TestKeyReportedNotRunNeverRunsLater(t *testing.T) {
	p := newProxy(0, true)
	p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) { return okResponse("tin"), nil }
	key := p.keys.IssuePrefix() + "n"
	requireVerdict(t, p.do(newRequest(http.MethodPost, "/reserve", "", key)), http.StatusServiceUnavailable, verbenastand.NotRun, "noServer")
	p.applyTicket(2, 3, true)
	requireVerdict(t, p.do(newRequest(http.MethodPost, "/reserve", "", key)), http.StatusServiceUnavailable, verbenastand.NotRun, "noServer")
	require.Zero(t, p.sent.Load())
	require.Equal(t, http.StatusOK, p.do(newRequest(http.MethodPost, "/reserve", "", p.keys.IssuePrefix()+"m")).Code)
}

func TestKeyOfAnotherInstanceIsForwardedOrMayHaveRun(t *testing.T) {
	p := newProxy(1, true)
	key := deduplicator.Prefix(otherHost.Instance(), p.clock.Now().Add(time.Minute)) + "n"
	requireVerdict(t, p.do(newRequest(http.MethodPost, "/reserve", "", key)), http.StatusConflict, verbenastand.MayHaveRun, "homeGone")
	p.hosts = append(p.hosts, otherHost)
	p.peer = func(h verbenastand.Host, _ *http.Request) (*http.Response, error) {
		require.Equal(t, otherHost, h)
		return newResponse(http.StatusOK, http.Header{verbenastand.HeaderVerdict: {"ran"}}, strings.NewReader("tin"), 3), nil
	}
	requireVerdict(t, p.do(newRequest(http.MethodPost, "/reserve", "", key)), http.StatusOK, verbenastand.Ran, "")
	p.peer = func(verbenastand.Host, *http.Request) (*http.Response, error) {
		return nil, verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonKeyOwnerUnreachable, nil)
	}
	requireVerdict(t, p.do(newRequest(http.MethodPost, "/reserve", "", key)), http.StatusConflict, verbenastand.MayHaveRun, "homeGone")
	require.Zero(t, p.sent.Load())
}

// A request is forwarded to a home host that does not respond. The next home, or
// this host if there is none, must respond before the deadline.
func TestUnresponsiveHomeIsSkipped(t *testing.T) {
	for _, homes := range []int{1, 2} {
		t.Run(fmt.Sprint(homes, " homes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testUnresponsiveHome(t, homes) })
		})
	}
}

func testUnresponsiveHome(t *testing.T, homes int) {
	p := newProxy(1, false)
	p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) { return okResponse("own"), nil }
	p.hosts = []verbenastand.Host{otherHost}
	if homes == 2 {
		p.hosts = append(p.hosts, verbenastand.NewHost(verbenastand.HostConfig{Instance: verbenastand.NewInstance("host-c", 1), Zone: "zone-c"}))
	}
	p.applyTicket(2, 1, false)
	var contacted []verbenastand.HostID
	p.peer = func(h verbenastand.Host, r *http.Request) (*http.Response, error) {
		contacted = append(contacted, h.ID())
		if len(contacted) == 1 {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		return newResponse(http.StatusOK, nil, strings.NewReader("next"), 4), nil
	}
	r := newRequest(http.MethodGet, "/tin", "", "")
	r.Header.Set(verbenastand.HeaderTimeout, "200")
	w := p.do(r)
	require.Equal(t, http.StatusOK, w.Code)
	require.Equal(t, map[int]string{1: "own", 2: "next"}[homes], w.Body.String())
	require.Len(t, contacted, homes)
}

func TestRequestThatCrashesServersIsQuarantined(t *testing.T) {
	p := newProxy(8, false)
	p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) { return nil, connectionLost() }
	for range 6 {
		p.do(newRequest(http.MethodGet, "/crash", "", ""))
		p.clock.Advance(100 * time.Millisecond)
	}
	require.EqualValues(t, quarantiner.CrashLimit, p.sent.Load())
	require.EqualValues(t, quarantiner.CrashLimit, p.notified.Load(), "the other homes are notified before the response")
	requireVerdict(t, p.do(newRequest(http.MethodGet, "/crash", "", "")), http.StatusServiceUnavailable, verbenastand.NotRun, "quarantined")
}

// Guards against copies of a crashing request that crash two more servers each
// because their query differs (issue 23, BUDGET).
func TestCopiesOfACrashingRequestShareEvidence(t *testing.T) {
	p := newProxy(12, false)
	p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) { return nil, connectionLost() }
	for i := range 6 {
		p.do(newRequest(http.MethodGet, fmt.Sprintf("/crash?page=%d", i), "", ""))
		p.clock.Advance(100 * time.Millisecond)
	}
	require.EqualValues(t, quarantiner.CrashLimit, p.sent.Load())

	forwarded := newRequest(http.MethodGet, "/crash", "", "")
	forwarded.Header.Set("X-Forwarded-For", "203.0.113.9, 192.0.2.1")
	forwarded.RemoteAddr = "10.0.0.7:4433"
	w := httptest.NewRecorder()
	p.ForwardHandler().ServeHTTP(w, forwarded)
	requireVerdict(t, w, http.StatusServiceUnavailable, verbenastand.NotRun, "quarantined")
	require.EqualValues(t, quarantiner.CrashLimit, p.sent.Load(), "the same caller through another host")

	for i := range 4 {
		other := newRequest(http.MethodGet, "/crash", "", "")
		other.RemoteAddr = fmt.Sprintf("203.0.113.%d:40000", i)
		p.do(other)
	}
	require.EqualValues(t, quarantiner.SharedCrashLimit, p.sent.Load(), "other callers")
}

// Guards against evidence that is cleared although the response is a failure, or breaks
// off because the server crashed after it had begun.
func TestOnlyASuccessClearsEvidence(t *testing.T) {
	cases := []struct {
		name     string
		response func() *http.Response
		refused  bool
	}{
		{"a success", func() *http.Response { return okResponse("ok") }, false},
		{"a failure", func() *http.Response { return newResponse(http.StatusNotImplemented, nil, strings.NewReader(""), 0) }, true},
		{"a body that breaks off", func() *http.Response {
			return newResponse(http.StatusOK, nil, io.MultiReader(strings.NewReader("begun"), brokenReader{}), 1<<20)
		}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newProxy(8, false)
			lost := func(verbenastand.Server, *http.Request) (*http.Response, error) { return nil, connectionLost() }
			request := func() *http.Request { return newRequest(http.MethodPost, "/crash", "", "") }
			p.server = lost
			p.do(request())
			require.EqualValues(t, 1, p.sent.Load())
			p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) { return tc.response(), nil }
			func() {
				defer func() { _ = recover() }()
				p.do(request())
			}()
			p.server = lost
			p.do(request())
			p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) { return okResponse("ok"), nil }
			want := http.StatusOK
			if tc.refused {
				want = http.StatusServiceUnavailable
			}
			require.Equal(t, want, p.do(request()).Code)
		})
	}
}

// brokenReader fails like the body of a response whose connection is lost.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, connectionLost() }

// Guards against a crashing request that waits for a slot while another host sends
// evidence, and is sent to the next server that has one (issue 23, BUDGET).
func TestAWaitingRequestIsRefusedWhenEvidenceArrives(t *testing.T) {
	other := newProxy(3, false)
	other.server = func(verbenastand.Server, *http.Request) (*http.Response, error) { return nil, connectionLost() }
	other.do(newRequest(http.MethodGet, "/crash", "", ""))
	evidence := other.quarantiner.Evidence(quarantiner.MaxSuspects)
	require.NotEmpty(t, evidence)

	p := newProxy(1, false)
	release := make(chan struct{})
	var crashed atomic.Int64
	p.server = func(_ verbenastand.Server, r *http.Request) (*http.Response, error) {
		if r.URL.Path == "/crash" {
			crashed.Add(1)
		}
		<-release
		return okResponse(""), nil
	}
	var wait sync.WaitGroup
	queued := func(n int) func() bool {
		return func() bool { return p.registrar.Find("tins").Scheduler().Status().Queued == n }
	}
	const others = 20
	for range others {
		wait.Go(func() { p.do(newRequest(http.MethodGet, "/other", "", "")) })
	}
	require.Eventually(t, func() bool {
		return p.sent.Load() > 0 && queued(others-int(p.sent.Load()))()
	}, 5*time.Second, time.Millisecond)
	waiting := others - int(p.sent.Load())
	require.Positive(t, waiting)
	var w *httptest.ResponseRecorder
	wait.Go(func() { w = p.do(newRequest(http.MethodGet, "/crash", "", "")) })
	require.Eventually(t, queued(waiting+1), 5*time.Second, time.Millisecond)
	for _, e := range evidence {
		p.quarantiner.Merge(e)
	}
	close(release)
	wait.Wait()
	requireVerdict(t, w, http.StatusServiceUnavailable, verbenastand.NotRun, "quarantined")
	require.Zero(t, crashed.Load())
}

// Guards against a server that gets more requests than the limit that it names (issue
// 23, LIMIT), and against a service that is closed by a limit that can't be read.
func TestAHostKeepsTheLimitOfAServer(t *testing.T) {
	cases := []struct {
		text string
		most int
	}{{"2", 2*20 + 5}, {"0.5", 20/2 + 5}, {"0", 5}, {"many", 1000}}
	for _, tc := range cases {
		t.Run(tc.text, func(t *testing.T) {
			p := newProxy(4, false)
			counts := make(map[verbenastand.ServerID]int)
			limited := true
			p.server = func(s verbenastand.Server, _ *http.Request) (*http.Response, error) {
				counts[s.ID()]++
				response := okResponse("ok")
				if s.ID() == "server-0" && limited {
					response.Header.Set(verbenastand.HeaderServerLimit, tc.text)
				}
				if s.ID() != "server-0" && !limited {
					response.Header.Set(verbenastand.HeaderServerDraining, "true")
				}
				return response, nil
			}
			send := func(seconds int) {
				for range seconds * 50 {
					p.clock.Advance(20 * time.Millisecond)
					p.registrar.Tick(p.clock.Now())
					require.Equal(t, http.StatusOK, p.do(newRequest(http.MethodGet, "/x", "", "")).Code)
				}
			}
			send(20)
			require.LessOrEqual(t, counts["server-0"], tc.most)
			require.Positive(t, counts["server-0"])
			limited = false
			p.clock.Advance(40 * time.Second)
			clear(counts)
			send(2)
			require.GreaterOrEqual(t, counts["server-0"], 97, "a limit that is no longer named does not hold, and the others drain")
		})
	}
}

func TestInvalidRequestIsRefusedAsNotRun(t *testing.T) {
	p := newProxy(1, true)
	p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) { return okResponse(""), nil }
	withHeader := func(name, value string) *http.Request {
		r := newRequest(http.MethodGet, "/", "", "")
		r.Header.Set(name, value)
		return r
	}
	large := newRequest(http.MethodPost, "/", "", "")
	large.ContentLength = 1 << 30
	cases := []struct {
		name    string
		request *http.Request
		status  int
		reason  string
	}{
		{"unknown service", withHeader(verbenastand.HeaderService, "nowhere"), http.StatusNotFound, "unknownService"},
		{"malformed service", withHeader(verbenastand.HeaderService, "NO WHERE"), http.StatusBadRequest, "badRequest"},
		{"malformed timeout", withHeader(verbenastand.HeaderTimeout, "soon"), http.StatusBadRequest, "badRequest"},
		{"too deep", withHeader(verbenastand.HeaderDepth, "33"), http.StatusBadRequest, "badRequest"},
		{"upgrade", withHeader("Upgrade", "websocket"), http.StatusBadRequest, "badRequest"},
		{"malformed key", newRequest(http.MethodPost, "/", "", "my-own-key"), http.StatusUnprocessableEntity, "badKey"},
		{"no key", newRequest(http.MethodPost, "/", "", ""), http.StatusUnprocessableEntity, "keyRequired"},
		{"too large", large, http.StatusRequestEntityTooLarge, "tooLarge"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			requireVerdict(t, p.do(c.request), c.status, verbenastand.NotRun, c.reason)
			require.Zero(t, p.sent.Load())
		})
	}
	require.Equal(t, http.StatusOK, p.do(newRequest(http.MethodGet, "/", "", "")).Code, "other requests are not affected")
}

func TestOnlyEndToEndHeaderFieldsAreForwarded(t *testing.T) {
	p := newProxy(1, false)
	p.server = func(_ verbenastand.Server, r *http.Request) (*http.Response, error) {
		require.Empty(t, r.Header.Get("X-Hop"))
		require.Empty(t, r.Header.Get("Connection"))
		require.Equal(t, "bytes=0-1", r.Header.Get("Range"))
		require.Equal(t, "1", r.Header.Get(verbenastand.HeaderDepth))
		require.Equal(t, "10.9.9.9, 192.0.2.1", r.Header.Get("X-Forwarded-For"))
		require.Equal(t, "2000", r.Header.Get(verbenastand.HeaderTimeout))
		header := http.Header{"Keep-Alive": {"x"}, "Etag": {"tag"}, verbenastand.HeaderLoad: {"TEXT application_utilization=0.5"}}
		return newResponse(http.StatusPartialContent, header, strings.NewReader("ti"), 2), nil
	}
	r := newRequest(http.MethodGet, "/", "", "")
	r.Header.Set("Connection", "X-Hop")
	r.Header.Set("X-Hop", "1")
	r.Header.Set("X-Forwarded-For", "10.9.9.9")
	r.Header.Set("Range", "bytes=0-1")
	w := p.do(r)
	require.Equal(t, http.StatusPartialContent, w.Code)
	require.Equal(t, "tag", w.Header().Get("Etag"))
	require.Empty(t, w.Header().Get("Keep-Alive"))
	require.Empty(t, w.Header().Get(verbenastand.HeaderLoad))
}

func TestDrainingHostRefusesAsNotRun(t *testing.T) {
	p := newProxy(1, false)
	p.StartDraining()
	requireVerdict(t, p.do(newRequest(http.MethodGet, "/", "", "")), http.StatusServiceUnavailable, verbenastand.NotRun, "draining")
}

// BenchmarkCall measures the CPU time and memory of a request without a network.
func BenchmarkCall(b *testing.B) {
	for _, keyed := range []bool{false, true} {
		b.Run(fmt.Sprintf("keyed=%t", keyed), func(b *testing.B) {
			p := newProxy(12, false)
			p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) { return okResponse("tin"), nil }
			prefix := p.keys.IssuePrefix()
			b.ReportAllocs()
			for i := range b.N {
				key := ""
				if keyed {
					key = prefix + fmt.Sprint(i)
				}
				if w := p.do(newRequest(http.MethodPost, "/tin", "", key)); w.Code != http.StatusOK {
					b.Fatal(w.Body.String())
				}
				if i%1000 == 0 {
					p.clock.Advance(10 * time.Minute)
					p.keys.Sweep(p.clock.Now())
					prefix = p.keys.IssuePrefix()
				}
			}
		})
	}
}
