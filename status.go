package verbenastand

import (
	"errors"
	"fmt"
)

// ErrInvalidStatus means that the status code of a response is not one of 100 to 599 (RFC 9110, 15).
// Parsers accept any three digits. What has such a status is not a response: its sender may have run the
// request, whatever the header says.
var ErrInvalidStatus = errors.New("verbenastand: invalid status code of a response")

// CheckStatus returns an ErrInvalidStatus if a status code is invalid.
func CheckStatus(status int) error {
	if status >= 100 && status <= 599 {
		return nil
	}
	return fmt.Errorf("%w: %d", ErrInvalidStatus, status)
}
