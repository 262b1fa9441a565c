package bounder

import (
	"bytes"
	"net/http"
)

// The memory that a parsed header takes in bytes, with the copies that an attempt makes. Measured:
// 322 KB live and 311 KB for a copy of 3,530 names in 16 KB, 205 KB and 91 KB for 5,451 lines
// of one name.
const (
	nameMemory  = 192
	valueMemory = 64
	// byteFactor accounts for the strings of a header, and for the buffer in which a copy is
	// sent.
	byteFactor = 3
)

// HeadCost returns the memory that a part of a header may take once it is parsed, at most: each
// line may be another name.
func HeadCost(part []byte) int64 {
	return int64(bytes.Count(part, newline))*(nameMemory+valueMemory) + int64(len(part))*byteFactor
}

var newline = []byte{'\n'}

// HeaderCost returns the memory that a parsed header takes.
func HeaderCost(h http.Header) int64 {
	cost := int64(0)
	for name, values := range h {
		cost += nameMemory + int64(len(name))*byteFactor
		for _, v := range values {
			cost += valueMemory + int64(len(v))*byteFactor
		}
	}
	return cost
}

// Source provides memory.
type Source interface {
	// Take takes bytes, and reports whether that many were left.
	Take(bytes int64) bool
	// Return returns bytes that were taken.
	Return(bytes int64)
}

// Sources takes the same bytes from several sources.
type Sources []Source

// Take implements Source.
func (s Sources) Take(bytes int64) bool {
	for i, source := range s {
		if !source.Take(bytes) {
			s[:i].Return(bytes)
			return false
		}
	}
	return true
}

// Return implements Source.
func (s Sources) Return(bytes int64) {
	for _, source := range s {
		source.Return(bytes)
	}
}

const (
	// ordinaryCost is the cost of a byte of a header with 30 bytes in a line, and minSample the
	// length from which a part is used to estimate the length of lines.
	ordinaryCost = 11
	minSample    = 1 << 10
)

// ExpectedCost returns the cost of the rest of a header of a length, given its first part.
func ExpectedCost(part []byte, length int) int64 {
	rest := int64(max(0, length-len(part)))
	if len(part) < minSample {
		return rest * ordinaryCost
	}
	return rest * HeadCost(part) / int64(len(part))
}
