package agent

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/event"
)

// An upstream that crashes says nothing. Its agent suspects it when it does not answer
// the first packet of a flow, or has not announced itself after the agent's start, and
// then opens a TCP connection to it: on the same VM a refused connection means that
// nothing runs there. Only that ends the upstream's flows; a connection that hangs does
// not. Packets say less: an upstream that was leaving when the power failed has been seen
// to answer some for seconds without listening or announcing itself.

const (
	// answerTime is the time within which an upstream answers or returns a first packet.
	answerTime = 100 * time.Millisecond
	// announceTime is the time after its start in which an agent waits for an announcement
	// before it asks.
	announceTime = 300 * time.Millisecond
	// probePause is the least time between two probes; each takes a connection.
	probePause = 400 * time.Millisecond
	// probeTimeout bounds a probe within the VM.
	probeTimeout = 200 * time.Millisecond
)

// probeDue reports whether the upstream should be probed now.
func (b *beside) probeDue() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.agent.clock()
	if b.probed != 0 && now-b.probed < probePause || b.tracker.IsStopped() {
		return false
	}
	silent := b.offered != 0 && now-b.offered >= answerTime
	unknown := !b.tracker.Known() && !b.listens && now-b.agent.started >= announceTime
	if silent || unknown {
		b.probed = now
	}
	return silent || unknown
}

// probe looks whether the upstream runs.
func (b *beside) probe() {
	conn, err := net.DialTimeout("tcp", b.agent.cfg.UpstreamSinkAddress.String(), probeTimeout)
	if err == nil {
		_ = conn.Close()
	}
	b.mu.Lock()
	b.listens = err == nil
	if b.listens {
		b.tracker.MarkRunning(b.agent.clock())
	}
	ended := errors.Is(err, syscall.ECONNREFUSED)
	if ended {
		b.tracker.MarkStopped()
	}
	b.offered = 0
	b.mu.Unlock()
	b.agent.log.Log(event.UpstreamProbed, "running", err == nil, "ended", ended, "error", err)
	if ended {
		b.agent.followUpstream()
	}
}
