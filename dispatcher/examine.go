package dispatcher

import (
	"context"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/quarantiner"
)

// examine finds out what has become of the server process to which a connection was lost:
// from its responses since, or else from whether it and other servers accept connections. One
// that accepts them may have started again, unless its responses tell.
func (d *Dispatcher) examine(ctx context.Context, lost verbenastand.Loss) verbenastand.ProcessState {
	components := d.config.Registrar.Find(lost.Service())
	if components == nil {
		return verbenastand.ProcessUnknown
	}
	if state := components.Scheduler().ProcessState(lost); state != verbenastand.ProcessUnknown {
		return state
	}
	r := d.config.Reachability
	if r == nil || r.Accepts(ctx, lost) || !r.ReachesOthers(lost.Service(), lost.Server()) {
		return verbenastand.ProcessUnknown
	}
	return verbenastand.ProcessEnded
}

// recordLoss adds evidence that the request may have crashed the server. Whether the server
// has ended is left open if this host reaches no other one.
func (resp *serverResponse) recordLoss() {
	d, req, server := resp.dispatcher, resp.request, resp.grant.Server()
	suspect := quarantiner.Suspect{
		Fingerprint: req.crashFingerprint, Server: server.ID(), State: verbenastand.ProcessEnded,
		Caller: req.caller(), Method: req.request.Method, Target: req.request.URL.RequestURI(),
	}
	if r := d.config.Reachability; r != nil && !r.ReachesOthers(server.Service(), server.ID()) {
		suspect.State = verbenastand.ProcessUnknown
	}
	lost := verbenastand.NewLoss(verbenastand.LossConfig{
		Server: server.ID(), Service: server.Service(), Address: server.Address(), Instance: resp.grant.Instance(), At: d.config.Timer.Now(),
	})
	isNew := d.config.Quarantiner.RecordLoss(req.crashFingerprint, lost, suspect.State)
	d.config.OnConnectionLost(suspect)
	if isNew && suspect.State == verbenastand.ProcessEnded {
		d.config.OnCrashSuspected(req.components.Homes(), suspect)
	}
}
