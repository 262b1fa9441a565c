package carrier

import (
	"errors"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/sender"
)

// errEvacuated means that the availability zones of all servers that could take the request are
// evacuated.
var errEvacuated = errors.New("carrier: the availability zones of the servers are evacuated")

// evacuated reports whether the zones of all servers of the service are evacuated. Other hosts
// send it no requests either.
func (c *call) evacuated() bool { return c.service != nil && c.service.Evacuated() }

// errEvacuatedMeanwhile returns the error of an attempt whose server was chosen just before the
// evacuation of its zone. Like one that was not reached, the server has received nothing.
func errEvacuatedMeanwhile() error {
	return verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonNoServer, errors.Join(sender.ErrUnreachable, errEvacuated))
}
