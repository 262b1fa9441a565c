package quarantiner

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// FingerprintConfig holds what identifies a request that crashes servers when its
// caller sends it again. The query is left out, since it may change from copy to copy,
// and so is what the operator may change meanwhile, such as the name of a route.
type FingerprintConfig struct {
	// Caller is the caller's network address without the port. Other callers are not
	// affected by evidence about this one's requests.
	Caller string
	// Service is the host name or the service to which the request is addressed.
	Service string
	Method  string
	// Path is the decoded path.
	Path string
	Body []byte
}

// NewFingerprint returns a hash of the parts.
func NewFingerprint(c FingerprintConfig) uint64 {
	h := xxhash.New()
	for _, text := range []string{c.Caller, c.Service, c.Method, c.Path} {
		_, _ = h.WriteString(text)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body)
	return h.Sum64()
}

// FormatFingerprint returns the form in which log lines contain a fingerprint, empty
// for a request without one.
func FormatFingerprint(fingerprint uint64) string {
	if fingerprint == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", fingerprint)
}
