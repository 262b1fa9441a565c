package bounder

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against one holder that takes the whole budget.
func TestAHolderGetsAtMostWhatItLeaves(t *testing.T) {
	s := NewShares(120)
	first, second, third := s.Open("a"), s.Open("b"), s.Open("c")
	require.True(t, first.Take(60))
	require.False(t, first.Take(1))
	require.True(t, second.Take(30))
	require.False(t, second.Take(1))
	require.True(t, third.Take(15))
	require.EqualValues(t, 2, s.Denied())
	first.Return(60)
	require.True(t, second.Take(10))
	require.Same(t, second, s.Open("b"))
}

func TestWaitingForAShare(t *testing.T) {
	cases := []struct {
		name  string
		then  func(held *Share, stop chan struct{})
		taken bool
	}{
		{"returned", func(held *Share, _ chan struct{}) { held.Return(50) }, true},
		{"too little is returned", func(held *Share, _ chan struct{}) { held.Return(1) }, false},
		{"stopped", func(_ *Share, stop chan struct{}) { close(stop) }, false},
		{"timeout", func(*Share, chan struct{}) {}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := NewShares(100)
				held := s.Open("a")
				require.True(t, held.Take(50))
				stop, result := make(chan struct{}), make(chan bool)
				go func() { result <- held.Await(stop, nil, time.Second, 40) }()
				synctest.Wait()
				tc.then(held, stop)
				taken := <-result
				require.Equal(t, tc.taken, taken)
				if taken {
					held.Return(40)
				}
				held.Return(held.Held())
				require.EqualValues(t, 100, s.Left())
				require.Zero(t, s.waiting.Load())
			})
		})
	}
}

// Guards against amounts that are lost or counted twice.
func TestSharesAddUpToTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 1000
		s := NewShares(size)
		shares := []*Share{s.Open("a"), s.Open("b"), s.Open("c")}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			share := shares[rapid.IntRange(0, 2).Draw(t, "share")]
			amount := rapid.Int64Range(0, 400).Draw(t, "amount")
			if rapid.Bool().Draw(t, "take") {
				left, held := s.Left(), share.Held()
				require.Equal(t, amount == 0 || held+amount <= left, share.Take(amount))
			} else {
				share.Return(min(amount, share.Held()))
			}
			sum := int64(0)
			for _, share := range shares {
				require.GreaterOrEqual(t, share.Held(), int64(0))
				sum += share.Held()
			}
			require.Equal(t, size-sum, s.Left())
		}
	})
}

// Guards against a charge that is given out before the parse and then turns out too small.
func TestTheCostOfAPartCoversWhatIsParsed(t *testing.T) {
	cases := []struct {
		name string
		line func(i int) string
	}{
		{"one name", func(int) string { return "a:\n" }},
		{"different names", func(i int) string { return fmt.Sprintf("a%x:\n", i) }},
		{"values", func(i int) string { return fmt.Sprintf("a%x: %d\r\n", i, i) }},
		{"a long value", func(i int) string { return "a: " + strings.Repeat("b", 1000) + "\r\n" }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			text := "GET / HTTP/1.1\r\nHost: a\r\n"
			for i := 0; len(text) < 16<<10; i++ {
				text += tc.line(i)
			}
			text += "\r\n"
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
			require.NoError(t, err)
			require.GreaterOrEqual(t, HeadCost([]byte(text)), HeaderCost(r.Header))
		})
	}
}
