package quarantiner

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// FingerprintConfig holds what identifies a request that crashes servers when it is
// sent again. The query is left out, since it may change from copy to copy, and so is
// what the operator may change meanwhile, such as the name of a route.
type FingerprintConfig struct {
	// Caller is the caller's network address without the port.
	Caller string
	// Service is the host name or the service to which the request is addressed.
	Service string
	Method  string
	// Path is the decoded path.
	Path string
	Body []byte
}

// Fingerprint identifies the copies of a request, those of one caller and those of all
// callers. A caller may change its network address, and may be many users behind one.
type Fingerprint struct{ perCaller, allCallers uint64 }

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(c FingerprintConfig) Fingerprint {
	h := xxhash.New()
	for _, text := range []string{c.Service, c.Method, c.Path} {
		_, _ = h.WriteString(text)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body)
	f := Fingerprint{allCallers: h.Sum64()}
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(c.Caller)
	f.perCaller = h.Sum64()
	return f
}

// IsZero reports whether there is no request.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// String returns the form in which log lines contain the fingerprint: that of all
// callers, a dash, that of the caller.
func (f Fingerprint) String() string {
	if f.IsZero() {
		return ""
	}
	return formatHash(f.allCallers) + "-" + formatHash(f.perCaller)
}

func formatHash(hash uint64) string { return fmt.Sprintf("%016x", hash) }
