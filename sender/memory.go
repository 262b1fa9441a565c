package sender

import (
	"errors"

	"github.com/verbenastand/verbenastand/internal/bounder"
)

// freeHeadMemory is the memory of a response header that is not charged, so that ordinary
// responses are read also while no memory is left.
const freeHeadMemory = 64 << 10

// ErrNoMemory means that this host had no memory for the header of a response.
var ErrNoMemory = errors.New("sender: no memory for the header of the response")

// headMemory is what the header of a response takes from a source.
type headMemory struct {
	source  bounder.Source
	cost    int64
	charged int64
}

// charge charges a part of a header before it is parsed.
func (m *headMemory) charge(part []byte) error {
	m.cost += bounder.HeadCost(part)
	amount := m.cost - freeHeadMemory - m.charged
	if m.source == nil || amount <= 0 {
		return nil
	}
	if !m.source.Take(amount) {
		return ErrNoMemory
	}
	m.charged += amount
	return nil
}

func (m *headMemory) release() {
	if m.charged > 0 {
		m.source.Return(m.charged)
		m.charged = 0
	}
}
