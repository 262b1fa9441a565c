package carrier

import (
	"context"
	"errors"
	"slices"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/quarantiner"
	"github.com/verbenastand/verbenastand/sender"
)

const (
	// maxRegistrationAge is the age of the view of registrations above which it says
	// nothing about a server that may have started again.
	maxRegistrationAge = time.Second
	// lossAccuracy bounds by how much the time of a loss may be too late on another host.
	lossAccuracy = time.Second
)

// examine finds out what has become of the server process to which a connection was lost.
// Another process at its address, or a later one under its ID, proves that it has ended, and
// a connection from before the loss that it is running. If the address accepts no connection,
// the process has ended only if this host reaches another server of the service; reached is
// set if it does. A process in an evacuated zone is not contacted, and stays unknown.
func (c *Carrier) examine(ctx context.Context, lost verbenastand.Loss, reached bool) verbenastand.ProcessState {
	if c.config.Reachability.Replaced(lost) {
		return verbenastand.ProcessEnded
	}
	if c.config.Reachability.Evacuated(lost) {
		return verbenastand.ProcessUnknown
	}
	opened, err := c.config.HealthChecker.Identify(ctx, registrationOf(lost), c.healthPath(lost.Service()))
	switch {
	case errors.Is(err, sender.ErrInstanceMismatch):
		return verbenastand.ProcessEnded
	case err == nil && opened.Before(lost.At().Add(-lossAccuracy)):
		return verbenastand.ProcessRunning
	case errors.Is(err, sender.ErrUnreachable):
		if reached || c.config.Reachability.ReachesOthers(registrationOf(lost)) {
			return verbenastand.ProcessEnded
		}
		return verbenastand.ProcessUnknown
	case c.config.RegistrationAge() > maxRegistrationAge:
		return verbenastand.ProcessUnknown
	}
	return verbenastand.ProcessResponding
}

func registrationOf(lost verbenastand.Loss) verbenastand.Registration {
	return verbenastand.NewRegistration(verbenastand.RegistrationConfig{
		Server: lost.Server(), StartTime: lost.StartTime(), Service: lost.Service(), Address: lost.Address(),
	})
}

// healthPath returns the path of a service's health checks.
func (c *Carrier) healthPath(n verbenastand.ServiceName) string {
	if s := c.config.Balancer.Service(n); s != nil {
		return s.HealthPath()
	}
	return "/"
}

// reconsider examines the servers because of which the request would be refused.
func (c *call) reconsider(ctx context.Context) {
	c.carrier.config.Quarantiner.Reconsider(ctx, c.fingerprint, func(ctx context.Context, lost verbenastand.Loss) verbenastand.ProcessState {
		return c.carrier.examine(ctx, lost, false)
	})
}

// checkEvidence releases the choice and returns an error if the request may have crashed
// too many servers. The chosen server shows that this host reaches the service.
func (c *call) checkEvidence(ctx context.Context, choice balancer.Choice) error {
	responded := choice.Conn != nil || choice.Age > 0
	err := c.carrier.config.Quarantiner.Confirm(ctx, c.fingerprint, func(ctx context.Context, lost verbenastand.Loss) verbenastand.ProcessState {
		another := choice.Server.Registration().Server() != lost.Server()
		return c.carrier.examine(ctx, lost, responded && another)
	})
	if err != nil {
		choice.Release()
	}
	return err
}

// recordLoss finds out what has become of a server whose connection was lost, and reports
// the request as a suspect unless the server is still running. It returns a channel that is
// closed when that is done.
func (c *call) recordLoss(server verbenastand.Registration) <-chan struct{} {
	lost := verbenastand.NewLoss(verbenastand.LossConfig{
		Server: server.Server(), Service: server.Service(), Address: server.Address(), StartTime: server.StartTime(),
		At: c.carrier.config.Clock.Now(),
	})
	suspect := quarantiner.Suspect{
		RequestID: c.id, Fingerprint: c.fingerprint, Server: lost.Server(),
		Caller: c.request.Remote(), Method: c.request.Method, Target: c.request.RequestURI,
	}
	carrier := c.carrier
	setState := c.addLoss(lost)
	done := make(chan struct{})
	go func() {
		defer close(done)
		suspect.State = carrier.examine(context.Background(), lost, false)
		setState(suspect.State)
		carrier.reportLoss(suspect, lost)
	}()
	return done
}

// addLoss adds a loss that is about to be examined, and returns a function that stores what
// has been found.
func (c *call) addLoss(lost verbenastand.Loss) (setState func(verbenastand.ProcessState)) {
	c.crashMu.Lock()
	defer c.crashMu.Unlock()
	i := len(c.losses)
	c.losses = append(c.losses, verbenastand.LossFinding{Loss: lost})
	return func(state verbenastand.ProcessState) {
		c.crashMu.Lock()
		defer c.crashMu.Unlock()
		c.losses[i].State, c.losses[i].Examined = state, true
	}
}

// possibleCrashes returns the losses of this host after which the server is not known to be
// running.
func (c *call) possibleCrashes() []verbenastand.LossFinding {
	c.crashMu.Lock()
	defer c.crashMu.Unlock()
	return slices.DeleteFunc(slices.Clone(c.losses), func(f verbenastand.LossFinding) bool {
		return f.Examined && f.State == verbenastand.ProcessRunning
	})
}

// learnLosses adds to the evidence what the host that has delegated the request has found. What
// it has not yet examined, it will report itself.
func (c *call) learnLosses() {
	origin := c.request.Origin()
	if origin == nil {
		return
	}
	for _, f := range origin.Losses {
		if f.Examined && (f.State == verbenastand.ProcessEnded || f.State == verbenastand.ProcessUnknown) {
			c.carrier.config.Quarantiner.LearnLoss(c.fingerprint, f.Loss, f.State)
		}
	}
}

// avoided returns the losses of the host that has delegated the request: their servers have
// had it, and may have started again.
func (c *call) avoided() []verbenastand.Loss {
	origin := c.request.Origin()
	if origin == nil {
		return nil
	}
	var losses []verbenastand.Loss
	for _, f := range origin.Losses {
		losses = append(losses, f.Loss)
	}
	return losses
}

func (c *Carrier) reportLoss(suspect quarantiner.Suspect, lost verbenastand.Loss) {
	isNew := false
	switch suspect.State {
	case verbenastand.ProcessResponding:
		time.AfterFunc(c.config.RegistrationTime, func() {
			if c.config.Reachability.Replaced(lost) {
				suspect.State = verbenastand.ProcessEnded
				c.reportLoss(suspect, lost)
			}
		})
	case verbenastand.ProcessEnded, verbenastand.ProcessUnknown:
		isNew = c.config.Quarantiner.RecordLoss(suspect.Fingerprint, lost, suspect.State)
	}
	c.config.OnConnectionLost(suspect)
	if isNew && suspect.State == verbenastand.ProcessEnded {
		c.config.OnCrashSuspected(suspect)
	}
}
