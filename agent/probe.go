package agent

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/event"
)

// A crashed upstream sends no notice. Its agent suspects a crash when the upstream does
// not answer the first packet of a flow, or has not announced itself some time after the
// agent's start. The agent then opens a TCP connection to the upstream: on the same VM a
// refused connection means that no process listens there. Only a refused connection ends
// the upstream's flows; a connection attempt that times out does not. Packets are weaker
// evidence: an upstream that was leaving when the power failed was seen to answer some
// packets for seconds without listening or announcing itself.

const (
	// answerTime is the timeout for the upstream to answer or return a first packet.
	answerTime = 100 * time.Millisecond
	// announceTime is how long after its start an agent waits for an announcement before
	// it probes the upstream.
	announceTime = 300 * time.Millisecond
	// probePause is the minimum interval between probes, each of which opens a connection
	// to the upstream.
	probePause = 400 * time.Millisecond
	// probeTimeout is the timeout of a probe, which does not leave the VM.
	probeTimeout = 200 * time.Millisecond
)

// probeDue reports whether the upstream should be probed now.
func (b *beside) probeDue() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.agent.clock()
	if b.probed != 0 && now-b.probed < probePause || b.tracker.HasEnded() {
		return false
	}
	silent := b.offered != 0 && now-b.offered >= answerTime
	unknown := !b.tracker.Known() && !b.listens && now-b.agent.started >= announceTime
	if silent || unknown {
		b.probed = now
	}
	return silent || unknown
}

// probe connects to the upstream to find out whether it runs.
func (b *beside) probe() {
	conn, err := net.DialTimeout("tcp", b.agent.cfg.UpstreamSinkAddress.String(), probeTimeout)
	if err == nil {
		_ = conn.Close()
	}
	b.mu.Lock()
	b.listens = err == nil
	if b.listens {
		b.tracker.Running(b.agent.clock())
	}
	ended := errors.Is(err, syscall.ECONNREFUSED)
	if ended {
		b.tracker.Ended()
	}
	b.offered = 0
	b.mu.Unlock()
	b.agent.log.Log(event.UpstreamProbed, "running", err == nil, "ended", ended, "error", err)
	if ended {
		b.agent.followUpstream()
	}
}
