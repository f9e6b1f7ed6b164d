package agent

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
)

// A crashed upstream sends no notice. Its agent suspects a crash when the upstream does
// not answer the first packet of a flow or a probe or, unless the last check connected, has not
// announced itself some time after the agent's start, or has announced its exit. The agent then opens a
// TCP connection to the upstream: on the same VM a refused connection means that no process listens
// there. Only a refused connection ends the upstream's flows; a connection attempt that
// times out does not. Packets are weaker evidence: an upstream that was leaving when its
// VM lost power may answer some packets for seconds although it neither listens nor
// announces itself. They only make the agent check a second time.
//
// This check is not a probe in the sense of package flow.

const (
	// firstAnswerTimeout is the timeout for the upstream to answer or return a first packet.
	firstAnswerTimeout = 100 * time.Millisecond
	// announceTimeout is how long after its start an agent waits for an announcement before
	// it checks the connection.
	announceTimeout = 300 * time.Millisecond
	// minConnectionCheckInterval is the minimum interval between checks, each of which opens a
	// connection to the upstream.
	minConnectionCheckInterval = 400 * time.Millisecond
	// connectTimeout is the timeout of the connection attempt, which does not leave the VM.
	connectTimeout = 200 * time.Millisecond
)

// connectionCheckDue reports whether the connection to the upstream should be checked now.
func (m *upstreamMonitor) connectionCheckDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.agent.clock()
	if m.connectionCheckedAt != 0 && now-m.connectionCheckedAt < minConnectionCheckInterval || m.tracker.IsStopped() {
		return false
	}
	unanswered := m.unansweredSince != 0 && now-m.unansweredSince >= firstAnswerTimeout
	unannounced := !m.tracker.Known() && !m.listening && now-m.agent.started >= announceTimeout
	// After a notice of exit, the end of the upstream lets its agent tell peers that ask for its flows.
	due := unanswered || unannounced || m.refusedOnce || m.tracker.ExitAnnounced()
	if due {
		m.connectionCheckedAt = now
	}
	return due
}

// checkConnection connects to the upstream to find out whether it runs.
func (m *upstreamMonitor) checkConnection() {
	begun, number := m.agent.clock(), uint8(0)
	m.agent.flows.do(func(_ time.Duration, t *flow.Table) { number = t.BeginUpstreamCheck() })
	conn, err := net.DialTimeout("tcp", m.agent.cfg.UpstreamSinkAddress.String(), connectTimeout)
	if err == nil {
		_ = conn.Close()
	}
	ended := m.recordConnectionCheck(begun, number, err)
	m.agent.log.Log(event.UpstreamProbed, "running", err == nil, "ended", ended, "error", err)
	if ended {
		m.agent.publishUpstreamState()
	}
}

// recordConnectionCheck records the result of the check with the given number, which has begun at the
// given time. It reports whether the upstream has ended.
func (m *upstreamMonitor) recordConnectionCheck(begun time.Duration, number uint8, err error) (ended bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unansweredSince = 0
	m.listening = err == nil
	if m.listening {
		m.tracker.MarkRunning(m.agent.clock())
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		m.refusedOnce = false
		return false
	}
	// An upstream that has just started may send packets before it listens, or may have started after
	// the check began. A second refusal shows that it does not listen at all.
	if !m.refusedOnce && m.packetAt != 0 && begun-m.packetAt < firstAnswerTimeout {
		m.refusedOnce = true
		return false
	}
	m.refusedOnce = false
	if ended = m.tracker.MarkStopped(begun); ended {
		m.endedCheck = number
	}
	return ended
}
