package bounder

// freeHeadMemory is the memory of a response header that is not charged, so that ordinary
// responses are read also while no memory is left.
const freeHeadMemory = 64 << 10

// Head is what the header of a response takes from a source.
type Head struct {
	source  Source
	cost    int64
	charged int64
}

// NewHead returns a header of which nothing has been read. If source is nil, nothing is charged.
func NewHead(source Source) Head { return Head{source: source} }

// Charge charges a part of the header before it is parsed, and reports whether there is memory
// for it.
func (h *Head) Charge(part []byte) bool { return h.ChargeCost(HeadCost(part)) }

// ChargeCost charges a part of the header, given its cost.
func (h *Head) ChargeCost(cost int64) bool {
	h.cost += cost
	amount := h.cost - freeHeadMemory - h.charged
	if h.source == nil || amount <= 0 {
		return true
	}
	if !h.source.Take(amount) {
		return false
	}
	h.charged += amount
	return true
}

// Release returns what was charged.
func (h *Head) Release() {
	if h.charged > 0 {
		h.source.Return(h.charged)
		h.charged = 0
	}
}
