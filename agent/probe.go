package agent

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/event"
)

// A crashed upstream sends no notice. Its agent suspects a crash when the upstream does
// not answer the first packet of a flow or, unless the last probe connected, has not
// announced itself some time after the agent's start. The agent then opens a TCP connection
// to the upstream: on the same VM a refused connection means that no process listens
// there. Only a refused connection ends the upstream's flows; a connection attempt that
// times out does not. Packets are weaker evidence: an upstream that was leaving when its
// VM lost power may answer some packets for seconds although it neither listens nor
// announces itself.
//
// In package flow, a probe is a packet of an unknown flow that is delivered to the upstream.

const (
	// answerTimeout is the timeout for the upstream to answer or return a first packet.
	answerTimeout = 100 * time.Millisecond
	// announceTimeout is how long after its start an agent waits for an announcement before
	// it probes the upstream.
	announceTimeout = 300 * time.Millisecond
	// minProbeInterval is the minimum interval between probes, each of which opens a
	// connection to the upstream.
	minProbeInterval = 400 * time.Millisecond
	// probeTimeout is the timeout of a probe, which does not leave the VM.
	probeTimeout = 200 * time.Millisecond
)

// probeDue reports whether the upstream should be probed now.
func (m *upstreamMonitor) probeDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.agent.clock()
	if m.probedAt != 0 && now-m.probedAt < minProbeInterval || m.tracker.IsStopped() {
		return false
	}
	unanswered := m.unansweredSince != 0 && now-m.unansweredSince >= answerTimeout
	unannounced := !m.tracker.Known() && !m.listening && now-m.agent.started >= announceTimeout
	if unanswered || unannounced {
		m.probedAt = now
	}
	return unanswered || unannounced
}

// probe connects to the upstream to find out whether it runs.
func (m *upstreamMonitor) probe() {
	conn, err := net.DialTimeout("tcp", m.agent.cfg.UpstreamSinkAddress.String(), probeTimeout)
	if err == nil {
		_ = conn.Close()
	}
	m.mu.Lock()
	m.listening = err == nil
	if m.listening {
		m.tracker.MarkRunning(m.agent.clock())
	}
	ended := errors.Is(err, syscall.ECONNREFUSED)
	if ended {
		m.tracker.MarkStopped()
	}
	m.unansweredSince = 0
	m.mu.Unlock()
	m.agent.log.Log(event.UpstreamProbed, "running", err == nil, "ended", ended, "error", err)
	if ended {
		m.agent.publishUpstreamState()
	}
}
