package bounder

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against memory of a request that stays taken after its end, is returned twice, or is
// taken by an attempt that outlives it.
func TestAnAccountReturnsWhatItsRequestTook(t *testing.T) {
	budget := NewBudget(100)
	a := NewAccount(budget)
	require.Equal(t, a, FromContext(NewContext(context.Background(), a)))
	require.Nil(t, FromContext(context.Background()))
	require.True(t, a.Take(60))
	require.False(t, a.Take(60))
	a.Return(20)
	require.EqualValues(t, 60, budget.Left())
	a.Close()
	a.Close()
	require.EqualValues(t, 100, budget.Left())
	a.Return(40)
	require.False(t, a.Take(1))
	require.EqualValues(t, 100, budget.Left())
}
