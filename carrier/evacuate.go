package carrier

import (
	"errors"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/sender"
)

// errEvacuated means that the availability zones of all servers that could take the request are
// evacuated.
var errEvacuated = errors.New("carrier: the availability zones of the servers are evacuated")

// errOutsideRegions means that no server is left in the regions in which the request may run.
var errOutsideRegions = errors.New("carrier: no server is left in the regions that the route allows")

// excludedEverywhere returns why no server may get the request from any host: the zones of all of
// them are evacuated, or none is in a region that the route allows. It is nil if one may.
func (c *call) excludedEverywhere() error {
	switch {
	case c.service == nil:
		return nil
	case c.service.Evacuated():
		return errEvacuated
	case c.service.OutsideRegions(c.route):
		return errOutsideRegions
	}
	return nil
}

// errEvacuatedMeanwhile returns the error of an attempt whose server was chosen just before the
// evacuation of its zone, or before it was registered in another one. Like one that was not reached, the server has received nothing.
func errEvacuatedMeanwhile() error {
	return verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonNoServer, errors.Join(sender.ErrUnreachable, errEvacuated))
}
