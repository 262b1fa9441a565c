package verbenastand

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrInvalidResponse means that what was received is not a response, although parsers accept it. Its sender
// may have run the request, whatever the header says.
var ErrInvalidResponse = errors.New("verbenastand: invalid response")

// ErrInvalidStatus means that the status code of a response is not one of 100 to 599 (RFC 9110, 15).
// Parsers accept any three digits.
var ErrInvalidStatus = fmt.Errorf("%w: status code", ErrInvalidResponse)

// ErrInvalidField means that the name of a field of a response is no token (RFC 9110, 5.1), or that a line
// of its header continues the one before it (RFC 9112, 5.2). Parsers accept blanks in names, so that
// they ignore a Content-Length with one.
var ErrInvalidField = fmt.Errorf("%w: header field", ErrInvalidResponse)

// CheckStatus returns an ErrInvalidStatus if a status code is invalid.
func CheckStatus(status int) error {
	if status >= 100 && status <= 599 {
		return nil
	}
	return fmt.Errorf("%w: %d", ErrInvalidStatus, status)
}

// CheckFields returns an ErrInvalidField if a field of a header or trailer has an invalid name.
func CheckFields(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: %q", ErrInvalidField, name)
		}
	}
	return nil
}

// CheckResponse returns an ErrInvalidResponse if the status code, or a field of the header or of the
// trailers that it announces, is invalid.
func CheckResponse(r *http.Response) error {
	if err := CheckStatus(r.StatusCode); err != nil {
		return err
	}
	if err := CheckFields(r.Header); err != nil {
		return err
	}
	return CheckFields(r.Trailer)
}
