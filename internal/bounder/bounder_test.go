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
