// Package splitter divides JSON arrays into their elements without decoding these, so that
// one element which can't be decoded does not hide the others.
package splitter

import (
	"bytes"
	"errors"
	"fmt"
)

// Errors of Split.
var (
	errNoArray      = errors.New("splitter: the data is not a JSON array")
	errUnterminated = errors.New("splitter: the array ends early")
	errEmptyElement = errors.New("splitter: an element is empty")
	errTrailingData = errors.New("splitter: data after the array")
)

// Split returns the elements of a JSON array (RFC 8259), none of a null. Only the array is validated: an
// element may be malformed, and nested without limit.
func Split(data []byte) ([][]byte, error) {
	data = bytes.TrimSpace(data)
	if string(data) == "null" {
		return nil, nil
	}
	if len(data) == 0 || data[0] != '[' {
		return nil, errNoArray
	}
	var elements [][]byte
	start, depth, inText := 1, 1, false
	for i := 1; i < len(data); i++ {
		switch c := data[i]; {
		case inText && c == '\\':
			i++
		case c == '"':
			inText = !inText
		case inText:
		case c == '[' || c == '{':
			depth++
		case c == ',' && depth == 1:
			elements = append(elements, bytes.TrimSpace(data[start:i]))
			start = i + 1
		case c == ']' || c == '}':
			depth--
			if depth == 0 {
				return finish(elements, data[start:i], data[i:])
			}
		}
	}
	return nil, errUnterminated
}

// finish adds the last element, and checks what follows it.
func finish(elements [][]byte, last, rest []byte) ([][]byte, error) {
	last = bytes.TrimSpace(last)
	if len(rest) != 1 || rest[0] != ']' {
		return nil, errTrailingData
	}
	if len(elements) > 0 || len(last) > 0 {
		elements = append(elements, last)
	}
	for i, e := range elements {
		if len(e) == 0 {
			return nil, fmt.Errorf("%w: number %d", errEmptyElement, i+1)
		}
	}
	return elements, nil
}
