package standin

import (
	"net/netip"
	"time"
)

// Attempt is the outcome of one client's attempt to open a flow: answered or timed
// out.
type Attempt struct {
	Service  string        `json:"service"`
	Source   netip.Addr    `json:"source"`
	Opened   time.Duration `json:"opened"` // time of the first packet, since LoadReport.Started
	Ended    time.Duration `json:"ended"`  // time of the first answer, or of the timeout, since LoadReport.Started
	Answered bool          `json:"answered"`
}

// maxAttempts is the maximum number of attempts listed in a report.
const maxAttempts = 500_000

// recordAttempt records the outcome of opening a flow. Only the first call for a flow
// has an effect.
func (g *LoadGenerator) recordAttempt(now time.Duration, f *clientFlow, answered bool) {
	if f.attemptRecorded {
		return
	}
	f.attemptRecorded = true
	if len(g.report.Attempts) >= maxAttempts {
		g.report.AttemptsDropped++
		return
	}
	g.report.Attempts = append(g.report.Attempts, Attempt{
		Service: f.target.Service, Source: f.key.Source().Addr(), Opened: f.opened, Ended: now, Answered: answered,
	})
}

// endRefused removes an unanswered flow of a greedy target, and counts it as refused.
func (g *LoadGenerator) endRefused(f *clientFlow) {
	g.report.FlowsRefused++
	g.end(f)
}
