package dispatcher_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/bounder"
)

// slowCaller is a caller that reads nothing until it goes on or leaves.
type slowCaller struct {
	header   http.Header
	status   int
	body     bytes.Buffer
	proceed  chan struct{}
	leaves   bool
	unlocked bool
}

func newSlowCaller(leaves bool) *slowCaller {
	return &slowCaller{header: http.Header{}, proceed: make(chan struct{}), leaves: leaves}
}

func (c *slowCaller) Header() http.Header    { return c.header }
func (c *slowCaller) WriteHeader(status int) { c.status = status }
func (c *slowCaller) Write(p []byte) (int, error) {
	if !c.unlocked {
		<-c.proceed
		c.unlocked = true
	}
	if c.leaves {
		return 0, errors.New("the caller has left")
	}
	return c.body.Write(p)
}

// serverBody is the body of a response, which can be closed while it is read.
type serverBody struct {
	io.Reader
	closed atomic.Bool
}

func (b *serverBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	return b.Reader.Read(p)
}

func (b *serverBody) Close() error {
	b.closed.Store(true)
	return nil
}

// Guards against a server, or another host, that is held by a caller that reads slowly while the
// host has memory; and against more memory than there is, gaps, and memory that is not returned.
func TestAResponseIsReadAheadOfItsCaller(t *testing.T) {
	const size = 3 << 20
	data := []byte(strings.Repeat("0123456789abcdef!", size/17))
	cases := []struct {
		name   string
		memory int64
		length int64
		freed  bool
		// leaves is set if the caller leaves before it reads, byPeer if another host sends
		// the request.
		leaves, byPeer bool
	}{
		{"memory for all", 8 << 20, int64(len(data)), true, false, false},
		{"memory for all, unknown length", 8 << 20, -1, true, false, false},
		{"memory for a part", 1 << 20, int64(len(data)), false, false, false},
		{"no memory", 0, int64(len(data)), false, false, false},
		{"the caller leaves", 8 << 20, int64(len(data)), true, true, false},
		{"the caller leaves, memory for a part", 1 << 20, -1, false, true, false},
		{"another host, memory for all", 8 << 20, -1, true, false, true},
		{"another host, memory for a part", 1 << 20, -1, false, false, true},
		{"another host, the caller leaves", 1 << 20, -1, false, true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shares := bounder.NewBudget(tc.memory)
				p := newProxy(1, false)
				p.memory = shares
				reader := bytes.NewReader(data)
				body := &serverBody{Reader: reader}
				p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) {
					response := newResponse(http.StatusOK, nil, nil, tc.length)
					response.Body = body
					return response, nil
				}
				if tc.byPeer {
					p.hosts = []verbenastand.Host{host, otherHost}
					p.cut.Store(true)
					p.peer = func(verbenastand.Host, *http.Request) (*http.Response, error) {
						response := newResponse(http.StatusOK, http.Header{verbenastand.HeaderVerdict: {verbenastand.Ran.String()}}, nil, tc.length)
						response.Body = body
						return response, nil
					}
				}
				w := newSlowCaller(tc.leaves)
				ended := make(chan any, 1)
				go func() {
					defer func() { ended <- recover() }()
					p.ServeHTTP(w, newRequest(http.MethodGet, "/", "", ""))
				}()
				synctest.Wait()
				require.Equal(t, tc.freed, reader.Len() == 0, "%d bytes unread", reader.Len())
				if !tc.byPeer {
					require.Equal(t, tc.freed, body.closed.Load(), "the slot is released with the body")
				}
				if !tc.freed {
					require.LessOrEqual(t, int64(len(data)-reader.Len()), tc.memory+16<<10)
				}
				close(w.proceed)
				panicked := <-ended
				if tc.leaves {
					require.Equal(t, http.ErrAbortHandler, panicked)
				} else {
					require.Nil(t, panicked)
					require.Equal(t, http.StatusOK, w.status)
					require.True(t, bytes.Equal(data, w.body.Bytes()))
				}
				require.True(t, body.closed.Load())
				require.Equal(t, tc.memory, shares.Left())
			})
		})
	}
}

// Guards against short responses that are held without memory for them, or are not delivered
// while there is none.
func TestShortResponsesAreCharged(t *testing.T) {
	const size = 60 << 10
	for _, memory := range []int64{100 << 10, 40 << 10, 0} {
		synctest.Test(t, func(t *testing.T) {
			budget := bounder.NewBudget(memory)
			p := newProxy(1, false)
			p.memory = budget
			p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) {
				return okResponse(strings.Repeat("x", size)), nil
			}
			w := newSlowCaller(false)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				p.ServeHTTP(w, newRequest(http.MethodGet, "/", "", ""))
			}()
			synctest.Wait()
			if memory >= size {
				require.Equal(t, memory-size, budget.Left())
			}
			close(w.proceed)
			<-ended
			require.Equal(t, http.StatusOK, w.status)
			require.Equal(t, size, w.body.Len())
			require.Equal(t, memory, budget.Left())
		})
	}
}

// Guards against headers of responses of other hosts that take memory that is not counted, and
// against a refusal that says that their requests have not run.
func TestHeadersOfOtherHostsAreCharged(t *testing.T) {
	for _, memory := range []int64{8 << 20, 256 << 10} {
		budget := bounder.NewBudget(memory)
		p := newProxy(1, false)
		p.memory = budget
		p.hosts = []verbenastand.Host{host, otherHost}
		p.cut.Store(true)
		p.peer = func(verbenastand.Host, *http.Request) (*http.Response, error) {
			response := okResponse("tin")
			response.Header.Set(verbenastand.HeaderVerdict, verbenastand.Ran.String())
			response.Header["A"] = make([]string, 10_000)
			return response, nil
		}
		w := p.do(newRequest(http.MethodPost, "/", "", ""))
		if memory > 1<<20 {
			require.Equal(t, http.StatusOK, w.Code)
		} else {
			requireVerdict(t, w, http.StatusBadGateway, verbenastand.MayHaveRun, "serverFailed")
		}
		require.Equal(t, memory, budget.Left())
	}
}
