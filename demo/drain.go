package demo

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

const (
	// In a long run the clients end their sessions on a draining upstream, so that
	// the drain completes under load.
	longRun      = 40 * time.Second
	sessionsFrom = 3 * time.Second
	sessionsLast = 5 * time.Second
	// longDrainLimit is the drain limit of a long run. Only UDP flows whose clients
	// have ended are left then; their idle timeout is longer than a demo.
	longDrainLimit = 20 * time.Second
	// leaveLimit is the time from the begin of a drain until the agent has exited,
	// with a margin for a busy machine.
	leaveLimit = longDrainLimit + 10*time.Second
)

func (c *Config) isLong() bool { return c.length() >= longRun }

// drainUpstream asks an agent to drain. The agent exits when its last flow has
// ended; its upstream stays, so that its record can be read at the end.
func (f *fleet) drainUpstream(u *upstreamVM) error {
	f.mu.Lock()
	u.drained = time.Now()
	f.mu.Unlock()
	u.agent.expected.Store(true)
	if _, err := f.command("drain", u.control.String()); err != nil {
		return err
	}
	go f.watchDrain(f.life, u)
	return nil
}

// watchDrain checks how a drained agent exits.
func (f *fleet) watchDrain(ctx context.Context, u *upstreamVM) {
	limit := time.NewTimer(leaveLimit)
	defer limit.Stop()
	if f.cfg.isLong() {
		f.endSessions(ctx, u)
	} else {
		limit.Stop() // sessions last longer than the run
	}
	select {
	case <-ctx.Done():
	case <-limit.C:
		f.violated("%s has not left %s after its drain began", u.name, leaveLimit)
	case <-u.agent.ended:
		if !u.agent.cmd.ProcessState.Success() {
			f.abort(u.agent.failed("drain failed"))
			return
		}
		f.say("%s left after %.1f s", u.name, time.Since(u.drained).Seconds())
	}
}

// endSessions lets the clients end their flows on a draining upstream.
func (f *fleet) endSessions(ctx context.Context, u *upstreamVM) {
	if !pause(ctx, sessionsFrom) {
		return
	}
	end := standin.EndSessionsRequest{Upstream: u.name, Seconds: sessionsLast.Seconds()}
	if err := sendJSON(ctx, http.MethodPost, f.client, "/end", end); err != nil && ctx.Err() == nil {
		f.abort(err)
	}
}

// killUpstream kills an upstream with its agent, without warning to the system. The
// clients are told, so that the flows lost with it count as unplanned.
func (f *fleet) killUpstream(ctx context.Context, u *upstreamVM) error {
	note := standin.KilledUpstream{Upstream: u.name}
	if err := sendJSON(ctx, http.MethodPost, f.client, "/killed", note); err != nil {
		return err
	}
	f.mu.Lock()
	u.killed = true
	f.mu.Unlock()
	// Without its agent the upstream runs nothing more, and its record is complete.
	u.agent.kill()
	ledger, err := f.readLedger(ctx, u)
	if err != nil {
		return err
	}
	endConnections(ledger, time.Now())
	u.ledger = ledger
	u.server.signal(syscall.SIGKILL)
	return nil
}

// endConnections closes the connections that an upstream's death ends.
func endConnections(r *standin.UpstreamReport, at time.Time) {
	for i := range r.Connections {
		if r.Connections[i].Closed == 0 {
			r.Connections[i].Closed = time.Duration(at.UnixNano())
		}
	}
}
