package scheduler

import "math"

// unavailable is the score of a server that gets no requests.
var unavailable = math.Inf(1)

// serverHeap is a binary min-heap of servers by score. Each server stores its
// position, so that the order is restored in logarithmic time after a score changes.
type serverHeap struct {
	size    int
	servers []*server
}

func (h *serverHeap) reset(servers []*server) {
	h.servers = append(h.servers[:0], servers...)
	for i, s := range h.servers {
		s.position[h.size] = i
	}
	for i := len(h.servers)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

func (h *serverHeap) less(i, j int) bool {
	return h.servers[i].score[h.size] < h.servers[j].score[h.size]
}

func (h *serverHeap) swap(i, j int) {
	h.servers[i], h.servers[j] = h.servers[j], h.servers[i]
	h.servers[i].position[h.size] = i
	h.servers[j].position[h.size] = j
}

func (h *serverHeap) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *serverHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *serverHeap) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.servers) {
			break
		}
		if right := child + 1; right < len(h.servers) && h.less(right, child) {
			child = right
		}
		if !h.less(child, i) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}

// best returns the server with the lowest score, or nil if none is available.
func (h *serverHeap) best() *server {
	if len(h.servers) == 0 || h.servers[0].score[h.size] == unavailable {
		return nil
	}
	return h.servers[0]
}

// bestExcept returns the available server with the lowest score that is not
// excluded, or nil. It scans all servers and is meant for retries only.
func (h *serverHeap) bestExcept(excluded []*server) *server {
	var best *server
	for _, s := range h.servers {
		if s.score[h.size] == unavailable || containsServer(excluded, s) {
			continue
		}
		if best == nil || s.score[h.size] < best.score[h.size] {
			best = s
		}
	}
	return best
}

func containsServer(servers []*server, s *server) bool {
	for _, other := range servers {
		if other == s {
			return true
		}
	}
	return false
}
