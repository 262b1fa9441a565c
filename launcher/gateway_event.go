package launcher

import (
	"context"
	"strconv"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/excluder"
	"github.com/verbenastand/verbenastand/gossiper"
	"github.com/verbenastand/verbenastand/limiter"
	"github.com/verbenastand/verbenastand/quarantiner"
	"github.com/verbenastand/verbenastand/scheduler"
)

// leavingNotices returns the servers that have said that they are leaving. The start time of
// the process is sent as its instance.
func (g *Gateway) leavingNotices() []gossiper.Notice {
	var notices []gossiper.Notice
	for _, p := range g.excluder.LeavingServers() {
		notices = append(notices, gossiper.Notice{Service: p.Service, DrainNotice: scheduler.DrainNotice{
			Server: p.Server, Instance: strconv.FormatInt(p.StartTime, 10),
		}})
	}
	return notices
}

// applyLeavingNotice applies another host's notice that a server is leaving, and reports
// whether this one did not know it. The other host may have sent a request of this one's
// caller to the server.
func (g *Gateway) applyLeavingNotice(n gossiper.Notice) bool {
	startTime, err := strconv.ParseInt(n.Instance, 10, 64)
	if err != nil {
		g.log.WithError(err).WithField("server", string(n.Server)).Warn("noticeUnreadable")
		return false
	}
	return g.excluder.Learn(verbenastand.ServerProcess{Server: n.Server, StartTime: startTime, Service: n.Service})
}

// onExclusionChange tells other hosts of a server that is leaving. A pause concerns the host
// that was asked for it.
func (g *Gateway) onExclusionChange(c excluder.Change) {
	g.recorder.ExclusionChanged(c)
	if c.Kind == excluder.Leaving {
		g.gossiper.SpreadChanges()
	}
}

// onEvidenceChange tells other hosts of what this one has found out about evidence, so that
// they refuse a request that crashes servers, and no other.
func (g *Gateway) onEvidenceChange(c quarantiner.Change) {
	g.recorder.EvidenceChanged(c)
	if c.Kind != quarantiner.Recorded && c.Kind != quarantiner.Learned {
		g.gossiper.SpreadChanges()
	}
}

// onCrashSuspected sends new evidence about a request that crashes servers to the
// neighbours, which pass it on.
func (g *Gateway) onCrashSuspected(s quarantiner.Suspect) {
	g.recorder.RequestSuspected(s)
	g.gossiper.PushNeighbours(context.Background())
}

// onConnectionLost tells other hosts of a loss that may be a crash, since this host can't tell.
// A host that is cut off loses many connections at once.
func (g *Gateway) onConnectionLost(s quarantiner.Suspect) {
	g.recorder.ConnectionLost(s)
	if s.State == verbenastand.ProcessUnknown {
		g.gossiper.SpreadChanges()
	}
}

// onLimitChange tells other hosts of a limit that this one has seen.
func (g *Gateway) onLimitChange(c limiter.Change) {
	g.recorder.LimitChanged(c)
	if !c.Learned && c.Kind != limiter.Malformed {
		g.gossiper.SpreadChanges()
	}
}
