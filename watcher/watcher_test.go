package watcher

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/merger"
)

// fakePlatform publishes tickets, and may lose the newest ones.
type fakePlatform struct {
	mu      sync.Mutex
	numbers []verbenastand.TicketNumber
	tickets [][]byte
}

func (p *fakePlatform) publish(number verbenastand.TicketNumber, state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.numbers = append(p.numbers, number)
	p.tickets = append(p.tickets, fmt.Appendf(nil,
		`{"number":%d,"services":[{"name":"s"}],"servers":[{"id":"a","service":"s","zone":"z","address":"10.0.0.1:80","state":%q}]}`, number, state))
}

// restore makes the platform return from a copy with only the first tickets.
func (p *fakePlatform) restore(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.numbers, p.tickets = p.numbers[:count:count], p.tickets[:count:count]
}

// Tickets implements verbenastand.TicketSource.
func (p *fakePlatform) Tickets(ctx context.Context, after verbenastand.TicketNumber, wait time.Duration) ([][]byte, error) {
	sleep(ctx, min(wait, 100*time.Millisecond))
	p.mu.Lock()
	defer p.mu.Unlock()
	var encoded [][]byte
	for i, n := range p.numbers {
		if n > after {
			encoded = append(encoded, p.tickets[i])
		}
	}
	return encoded, nil
}

// TestAPlatformThatReturnsFromAnOlderCopy: the platform loses its newest tickets and
// publishes them again. Their numbers are the operators', so a lost drain holds, and a
// host that starts meanwhile learns of it from a peer.
func TestAPlatformThatReturnsFromAnOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		platform := &fakePlatform{}
		platform.publish(1, "active")
		running := merger.NewMerger(merger.Config{})
		go NewWatcher(Config{Platform: platform, Merger: running}).Run(ctx)
		time.Sleep(time.Second)
		platform.publish(2, "draining")
		time.Sleep(time.Second)
		for range 2 {
			platform.restore(1)
			time.Sleep(time.Second)
			require.Equal(t, verbenastand.ServerDraining, running.Configuration().Servers("s")[0].State())
		}
		starting := merger.NewMerger(merger.Config{})
		NewWatcher(Config{Platform: platform, Merger: starting}).Bootstrap(ctx, []verbenastand.TicketSource{mergerSource{running}})
		require.Equal(t, running.Configuration().Digest(), starting.Configuration().Digest())
		platform.publish(2, "draining")
		platform.publish(3, "active")
		time.Sleep(time.Second)
		require.Equal(t, verbenastand.ServerActive, running.Configuration().Servers("s")[0].State())
		require.EqualValues(t, 3, running.Configuration().Number())
	})
}

// mergerSource is a peer.
type mergerSource struct{ merger *merger.Merger }

// Tickets implements verbenastand.TicketSource.
func (s mergerSource) Tickets(_ context.Context, after verbenastand.TicketNumber, _ time.Duration) ([][]byte, error) {
	return s.merger.Since(after)
}
