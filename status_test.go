package verbenastand

import (
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
	}
}
