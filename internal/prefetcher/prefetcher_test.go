package prefetcher

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/verbenastand/verbenastand/internal/bounder"
)

// source is the body of a response. It can be interrupted.
type source struct {
	io.Reader
	read        atomic.Int64
	interrupted atomic.Bool
}

var errInterrupted = errors.New("interrupted")

func (s *source) Read(p []byte) (int, error) {
	if s.interrupted.Load() {
		return 0, errInterrupted
	}
	n, err := s.Reader.Read(p)
	s.read.Add(int64(n))
	return n, err
}

func pattern(size int) []byte {
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(i * 7 >> 3)
	}
	return data
}

// Guards against responses that take more memory than there is, have gaps, hold their server
// while there is memory, or keep memory.
func TestResponsesAreReadAhead(t *testing.T) {
	const size = 1 << 20
	cases := []struct {
		name    string
		memory  int64
		charged bool
		// most is the most that may be read before the caller reads.
		most  int64
		freed bool
		step  int
	}{
		{"memory for all", 2 << 20, true, size, true, 1000},
		{"memory for a part", 128 << 10, true, 128 << 10, false, 1000},
		{"memory for the first buffers", 2 * chunkSize, true, 2 * chunkSize, false, 1 << 20},
		{"too little for the first buffers", 2*chunkSize - 1, true, minChunkSize*2 + chunkSize, false, 3},
		{"none", 0, true, 2 * minChunkSize, false, 1 << 20},
		{"none, first buffers are not charged", 0, false, 2 * chunkSize, false, 1000},
		{"memory for all, first buffers are not charged", size, false, size, true, 1000},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget := bounder.NewBudget(tc.memory)
				s := &source{Reader: bytes.NewReader(pattern(size))}
				finished := errors.New("not finished")
				r := NewReader(Config{
					Body: s, Memory: budget, Charged: tc.charged, Finish: func(err error) { finished = err },
					Interrupt: func() { s.interrupted.Store(true) },
				})
				synctest.Wait()
				require.LessOrEqual(t, s.read.Load(), tc.most)
				require.Equal(t, tc.freed, finished == nil)
				var got []byte
				buffer := make([]byte, tc.step)
				for {
					n, err := r.Read(buffer)
					got = append(got, buffer[:n]...)
					if err != nil {
						require.ErrorIs(t, err, io.EOF)
						break
					}
				}
				require.True(t, bytes.Equal(pattern(size), got))
				r.Close()
				r.Close()
				r.Wait()
				require.NoError(t, finished)
				require.False(t, s.interrupted.Load())
				require.Equal(t, tc.memory, budget.Left())
			})
		})
	}
}

// Guards against a server that is held, memory that is kept, or a process that ends, when a caller
// leaves or a server fails halfway.
func TestAResponseMayEndHalfway(t *testing.T) {
	errFailed := errors.New("failed")
	cases := []struct {
		name string
		body io.Reader
		err  error
	}{
		{"the caller leaves", bytes.NewReader(pattern(1 << 20)), nil},
		{"the server fails", io.MultiReader(bytes.NewReader(pattern(100)), failing{err: errFailed}), errFailed},
		{"a panic", io.MultiReader(bytes.NewReader(pattern(100)), failing{}), errPanic},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget := bounder.NewBudget(128 << 10)
				s := &source{Reader: tc.body}
				var finished error
				r := NewReader(Config{
					Body: s, Memory: budget, Charged: true, Finish: func(err error) { finished = err },
					Interrupt:   func() { s.interrupted.Store(true) },
					ReportPanic: func(any) error { return errPanic },
				})
				part, err := r.Next()
				require.NoError(t, err)
				require.Equal(t, pattern(100), part[:100])
				if tc.err != nil {
					_, err = r.Next()
					require.ErrorIs(t, err, tc.err)
				}
				synctest.Wait()
				r.Close()
				r.Wait()
				require.Equal(t, !errors.Is(tc.err, errFailed), s.interrupted.Load())
				require.Equal(t, !errors.Is(tc.err, errPanic), finished != nil)
				require.EqualValues(t, 128<<10, budget.Left())
			})
		})
	}
}

var errPanic = errors.New("panic")

// failing is a body that fails, or panics if it has no error.
type failing struct{ err error }

func (f failing) Read([]byte) (int, error) {
	if f.err == nil {
		panic("body")
	}
	return 0, f.err
}
