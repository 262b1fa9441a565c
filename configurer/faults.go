package configurer

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"strings"
)

// faults collects what is wrong with settings.
type faults []error

func (f *faults) add(flag, format string, args ...any) {
	*f = append(*f, fmt.Errorf("--%s: %s", flag, fmt.Sprintf(format, args...)))
}

// all returns every fault, joined.
func (f *faults) all() error { return errors.Join(*f...) }

// text is a value together with its flag.
type text struct{ flag, value string }

// checkAddresses demands IP addresses and ports. The advertised address may be
// empty.
func (f *faults) checkAddresses(addresses []text, advertised string, peers []string) {
	if advertised != "" {
		addresses = append(addresses, text{"peer-advertise", advertised})
	}
	for _, p := range peers {
		addresses = append(addresses, text{"peer", p})
	}
	for _, a := range addresses {
		if address, err := netip.ParseAddrPort(a.value); err != nil || address.Port() == 0 {
			f.add(a.flag, "%q is no IP address and port", a.value)
		}
	}
}

// checkURL demands an HTTP URL or nothing.
func (f *faults) checkURL(u text) {
	parsed, err := url.Parse(u.value)
	if u.value != "" && (err != nil || parsed.Host == "" || !strings.HasPrefix(parsed.Scheme, "http")) {
		f.add(u.flag, "%q is no http or https URL", u.value)
	}
}

// span is a value together with its flag and bounds.
type span[T cmp.Ordered] struct {
	flag            string
	value, low, top T
}

// checkSpans demands values within their bounds; what is not a number is not.
func checkSpans[T cmp.Ordered](f *faults, spans []span[T]) {
	for _, s := range spans {
		if cmp.Compare(s.value, s.low) < 0 || cmp.Compare(s.value, s.top) > 0 {
			f.add(s.flag, "%v is not between %v and %v", s.value, s.low, s.top)
		}
	}
}
