package demo

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

const (
	// In a run of at least longRunMin the clients end their flows on a draining
	// upstream, so that the drain completes under load. They start flowEndDelay after
	// the drain has begun and spread the ends over flowEndPeriod.
	longRunMin    = 40 * time.Second
	flowEndDelay  = 3 * time.Second
	flowEndPeriod = 5 * time.Second
	// longDrainLimit is the drain limit of agents in a long run. The flows that an
	// agent still keeps by then are UDP flows that the clients have ended; their idle
	// timeout is longer than a demo.
	longDrainLimit = 20 * time.Second
	// drainTimeout is the timeout from the start of a drain to the exit of the agent:
	// the drain limit and a margin for a busy machine.
	drainTimeout = longDrainLimit + 10*time.Second
)

func (c *Config) isLongRun() bool { return c.duration() >= longRunMin }

// drainUpstream starts the drain of an agent. The agent exits when its last flow has
// ended; the process of its upstream keeps running, so that its report can be read at
// the end of the run.
func (f *fleet) drainUpstream(u *upstreamVM) error {
	f.mu.Lock()
	u.drainStart = time.Now()
	f.mu.Unlock()
	u.agent.exitRequested.Store(true)
	if _, err := f.command("drain", u.control.String()); err != nil {
		return err
	}
	go f.watchDrain(f.ctx, u)
	return nil
}

// watchDrain checks that a draining agent exits in time and with status 0.
func (f *fleet) watchDrain(ctx context.Context, u *upstreamVM) {
	limit := time.NewTimer(drainTimeout)
	defer limit.Stop()
	if f.cfg.isLongRun() {
		f.endFlows(ctx, u)
	} else {
		limit.Stop() // without endFlows, flows last longer than the run
	}
	select {
	case <-ctx.Done():
	case <-limit.C:
		f.addViolation("%s is still running %s after its drain began", u.name, drainTimeout)
	case <-u.agent.exited:
		if !u.agent.cmd.ProcessState.Success() {
			f.abort(u.agent.failure("drain failed"))
			return
		}
		f.logf("%s exited %.1f s after its drain began", u.name, time.Since(u.drainStart).Seconds())
	}
}

// endFlows makes the clients end their flows on a draining upstream.
func (f *fleet) endFlows(ctx context.Context, u *upstreamVM) {
	if !sleep(ctx, flowEndDelay) {
		return
	}
	end := standin.EndFlowsRequest{Upstream: u.name, Seconds: flowEndPeriod.Seconds()}
	if err := sendJSON(ctx, http.MethodPost, f.clientControl, "/end", end); err != nil && ctx.Err() == nil {
		f.abort(err)
	}
}

// killUpstream kills an upstream with its agent without notifying the balancers and the
// other agents. It notifies the clients, which then count the flows lost with the
// upstream as unplanned.
func (f *fleet) killUpstream(ctx context.Context, u *upstreamVM) error {
	note := standin.KilledUpstream{Upstream: u.name}
	if err := sendJSON(ctx, http.MethodPost, f.clientControl, "/killed", note); err != nil {
		return err
	}
	f.mu.Lock()
	u.killed = true
	f.mu.Unlock()
	// Without its agent the upstream receives nothing more, so its report is complete.
	u.agent.kill()
	report, err := f.readReport(ctx, u)
	if err != nil {
		return err
	}
	endConnections(report, time.Now())
	u.finalReport = report
	u.server.signal(syscall.SIGKILL)
	return nil
}

// endConnections records the end of the connections that were open when their upstream
// was killed.
func endConnections(r *standin.UpstreamReport, at time.Time) {
	for i := range r.Connections {
		if r.Connections[i].Closed == 0 {
			r.Connections[i].Closed = time.Duration(at.UnixNano())
		}
	}
}
