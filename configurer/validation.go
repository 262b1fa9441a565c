package configurer

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"strings"
)

// validationErrors collects the errors of invalid settings.
type validationErrors []error

func (errs *validationErrors) add(flag, format string, args ...any) {
	*errs = append(*errs, fmt.Errorf("--%s: %s", flag, fmt.Sprintf(format, args...)))
}

// join returns all errors as one, nil if there are none.
func (errs *validationErrors) join() error { return errors.Join(*errs...) }

// flagValue is a setting with the name of its flag.
type flagValue struct{ flag, value string }

// checkAddresses requires each address to be an IP address with a nonzero port. The
// advertised address may be empty.
func (errs *validationErrors) checkAddresses(addresses []flagValue, advertised string, peers []string) {
	if advertised != "" {
		addresses = append(addresses, flagValue{"peer-advertise", advertised})
	}
	for _, p := range peers {
		addresses = append(addresses, flagValue{"peer", p})
	}
	for _, a := range addresses {
		if address, err := netip.ParseAddrPort(a.value); err != nil || address.Port() == 0 {
			errs.add(a.flag, "%q is not an IP address and port", a.value)
		}
	}
}

// checkHedgeLimit requires a limit of extra server time that is a fraction, unless it is not set.
func (errs *validationErrors) checkHedgeLimit(limit *float64) {
	if limit != nil {
		checkRanges(errs, []flagRange[float64]{{"hedge-limit", *limit, 0, 1}})
	}
}

// checkURL requires an HTTP or HTTPS URL or an empty value.
func (errs *validationErrors) checkURL(u flagValue) {
	parsed, err := url.Parse(u.value)
	if u.value != "" && (err != nil || parsed.Host == "" || !strings.HasPrefix(parsed.Scheme, "http")) {
		errs.add(u.flag, "%q is not an http or https URL", u.value)
	}
}

// flagRange is a setting with the name of its flag and its inclusive bounds.
type flagRange[T cmp.Ordered] struct {
	flag            string
	value, min, max T
}

// checkRanges requires each value to be within its bounds. NaN is out of bounds,
// because cmp.Compare orders it below all numbers.
func checkRanges[T cmp.Ordered](errs *validationErrors, ranges []flagRange[T]) {
	for _, r := range ranges {
		if cmp.Compare(r.value, r.min) < 0 || cmp.Compare(r.value, r.max) > 0 {
			errs.add(r.flag, "%v is not between %v and %v", r.value, r.min, r.max)
		}
	}
}
