package standin

import (
	"net/netip"
	"time"
)

// Attempt is one flow that a client tried to open and that was answered or given
// up.
type Attempt struct {
	Service  string        `json:"service"`
	Source   netip.Addr    `json:"source"`
	Opened   time.Duration `json:"opened"`
	Ended    time.Duration `json:"ended"` // first answer, or when it was given up
	Answered bool          `json:"answered"`
}

// maxAttempts bounds the attempts that a report lists.
const maxAttempts = 500_000

// noteAttempt records the outcome of opening a flow, once.
func (c *Callers) noteAttempt(now time.Duration, f *callerFlow, answered bool) {
	if f.attempted {
		return
	}
	f.attempted = true
	if len(c.report.Attempts) >= maxAttempts {
		c.report.AttemptsDropped++
		return
	}
	c.report.Attempts = append(c.report.Attempts, Attempt{
		Service: f.target.Service, Source: f.key.Source().Addr(), Opened: f.opened, Ended: now, Answered: answered,
	})
}

// refuse forgets a flow of a customer that asks for more than its plan and got no
// answer.
func (c *Callers) refuse(f *callerFlow) {
	c.report.FlowsRefused++
	c.end(f)
}
