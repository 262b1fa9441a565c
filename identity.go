package verbenastand

import (
	"fmt"
	"strconv"
	"strings"
)

// HostID names one host of a deployment.
type HostID string

// Zone names an availability zone.
type Zone string

// ServiceName names a service that backend servers offer.
type ServiceName string

// ServerID names one backend server.
type ServerID string

// Instance is one run of the daemon on a host: the host and a boot number that
// differs between two runs of the same host.
type Instance struct {
	host HostID
	boot uint64
}

// NewInstance returns the instance of host with the given boot number.
func NewInstance(host HostID, boot uint64) Instance {
	return Instance{host: host, boot: boot}
}

// Host returns the host on which the instance runs.
func (i Instance) Host() HostID { return i.host }

// Boot returns the boot number of the instance.
func (i Instance) Boot() uint64 { return i.boot }

// String formats the instance as host~boot, with the boot number in base 36.
func (i Instance) String() string {
	return string(i.host) + "~" + strconv.FormatUint(i.boot, 36)
}

// ParseInstance parses the format that Instance.String returns.
func ParseInstance(s string) (Instance, error) {
	host, bootText, found := strings.Cut(s, "~")
	if !found || !ValidName(host) {
		return Instance{}, fmt.Errorf("instance %q: want host~boot", s)
	}
	boot, err := strconv.ParseUint(bootText, 36, 64)
	if err != nil {
		return Instance{}, fmt.Errorf("instance %q: boot number: %w", s, err)
	}
	return Instance{host: HostID(host), boot: boot}, nil
}

// MaxNameLength is the maximum length of a name in bytes.
const MaxNameLength = 63

// ValidName reports whether s is a valid name of a host, zone, service or server:
// 1 to MaxNameLength lower-case letters, digits and hyphens.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxNameLength {
		return false
	}
	for _, c := range s {
		lower := c >= 'a' && c <= 'z'
		digit := c >= '0' && c <= '9'
		if !lower && !digit && c != '-' {
			return false
		}
	}
	return true
}
