package bounder

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func TestFill(t *testing.T) {
	errLost := errors.New("connection lost")
	cases := []struct {
		name   string
		reader io.Reader
		text   string
		ended  bool
		err    error
	}{
		{"full", strings.NewReader("abcdef"), "abcd", false, nil},
		{"full, byte by byte", iotest.OneByteReader(strings.NewReader("abcdef")), "abcd", false, nil},
		{"ended", strings.NewReader("ab"), "ab", true, nil},
		{"ended with the last bytes", iotest.DataErrReader(strings.NewReader("ab")), "ab", true, nil},
		{"truncated", io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(io.ErrUnexpectedEOF)), "ab", false, io.ErrUnexpectedEOF},
		{"failed", io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(errLost)), "ab", false, errLost},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			buffer := make([]byte, 4)
			n, ended, err := Fill(tc.reader, buffer)
			require.Equal(t, tc.text, string(buffer[:n]))
			require.Equal(t, tc.ended, ended)
			require.ErrorIs(t, err, tc.err)
		})
	}
}

func TestBudget(t *testing.T) {
	b := NewBudget(10)
	require.True(t, b.Take(6))
	require.False(t, b.Take(5))
	require.True(t, b.Take(4))
	b.Return(5)
	require.EqualValues(t, 5, b.Left())
}

func TestReadBuffer(t *testing.T) {
	text := strings.Repeat("abcdefgh", 10<<10)
	cases := []struct {
		name     string
		length   int64
		limit    int64
		budget   int64
		sent     string
		read     int
		complete bool
		err      error
	}{
		{"empty", 0, 1 << 20, 1 << 20, "", 0, true, nil},
		{"announced", 4, 1 << 20, 1 << 20, "abcd", 4, true, nil},
		{"announced and longer", 4, 1 << 20, 1 << 20, "abcde", 0, false, ErrExcess},
		{"announced and truncated", 5, 1 << 20, 1 << 20, "abcd", 0, false, io.ErrUnexpectedEOF},
		{"announced beyond the limit", int64(len(text)), 100, 1 << 20, text, 100, false, nil},
		{"announced beyond the budget", int64(len(text)), 1 << 20, 100, text, 0, false, nil},
		{"unknown", -1, 1 << 20, 1 << 20, "abcd", 4, true, nil},
		{"unknown and long", -1, 1 << 20, 1 << 20, text, len(text), true, nil},
		{"unknown beyond the limit", -1, 20_000, 1 << 20, text, 20_000, false, nil},
		{"unknown beyond the budget", -1, 1 << 20, 20_000, text, 16 << 10, false, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			budget := NewBudget(tc.budget)
			reader := strings.NewReader(tc.sent)
			b, err := ReadBuffer(BufferConfig{Reader: reader, Length: tc.length, Limit: tc.limit, Budget: budget})
			require.ErrorIs(t, err, tc.err)
			require.Equal(t, tc.complete, b.Complete())
			require.Equal(t, tc.sent[:tc.read], string(b.Bytes()))
			if err == nil {
				rest, _ := io.ReadAll(reader)
				require.Equal(t, tc.sent[tc.read:], string(rest))
			}
			b.Release()
			b.Release()
			require.Equal(t, tc.budget, budget.Left())
		})
	}
}
