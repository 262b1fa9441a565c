package verbenastand

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCheckStatus(t *testing.T) {
	for status := -100; status <= 2000; status++ {
		err := CheckStatus(status)
		if status >= 100 && status <= 599 {
			require.NoError(t, err, status)
			continue
		}
		require.ErrorIs(t, err, ErrInvalidStatus, status)
		require.ErrorIs(t, err, ErrInvalidResponse, status)
	}
}

func TestCheckResponse(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for b := range 256 {
		for _, name := range []string{string([]byte{byte(b)}), "a" + string([]byte{byte(b)}), string([]byte{byte(b)}) + "a"} {
			for _, r := range []*http.Response{
				{StatusCode: http.StatusOK, Header: http.Header{name: {"x"}}},
				{StatusCode: http.StatusOK, Trailer: http.Header{name: nil}},
			} {
				err := CheckResponse(r)
				if strings.IndexByte(token, byte(b)) >= 0 {
					require.NoError(t, err, name)
					continue
				}
				require.ErrorIs(t, err, ErrInvalidField, name)
				require.ErrorIs(t, err, ErrInvalidResponse, name)
			}
		}
	}
	require.ErrorIs(t, CheckResponse(&http.Response{StatusCode: 99}), ErrInvalidStatus)
	require.ErrorIs(t, CheckResponse(&http.Response{StatusCode: http.StatusOK, Header: http.Header{"": {"x"}}}), ErrInvalidField)
}
