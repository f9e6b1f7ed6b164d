package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// The types of this file explain decisions to the log. No decision reads them.

// Exclusion is the rule by which a peer's upstream counts as not holding a flow.
type Exclusion uint8

const (
	// NotExcluded: the peer's upstream may hold the flow.
	NotExcluded Exclusion = iota
	// ExcludedByAnswer: the peer has answered that its upstream does not hold the flow.
	ExcludedByAnswer
	// ExcludedLeaving: the peer has announced that its upstream has ended its flows, and does not answer.
	ExcludedLeaving
	// ExcludedFailed: the peer's record is in state Failed, and nothing arrives from it.
	ExcludedFailed
	// ExcludedRestarting: the peer's agent has been restarting for AgentRestartTimeout and does not answer.
	ExcludedRestarting
	// ExcludedUnresponsive: nothing has ever arrived from the listed process.
	ExcludedUnresponsive
	// ExcludedSilent: nothing has arrived from the peer while inquiries were sent to it.
	ExcludedSilent

	exclusionCount
)

var exclusionNames = [exclusionCount]string{
	"none", "answer", "leaving", "failed", "agent_restarting", "unresponsive", "silent",
}

// String returns the rule's name in logs.
func (e Exclusion) String() string {
	if e < exclusionCount {
		return exclusionNames[e]
	}
	return "unknown"
}

// maxEvidencePeers limits the peers of each list of an Evidence, so that a log line with two full
// lists stays below 1 KB.
const maxEvidencePeers = 4

// PeerEvidence describes a peer that was excluded although it had not denied holding the flow.
type PeerEvidence struct {
	Name   string
	State  State
	Source StateSource
	// InState is the time since this agent has known the state, or the peer's current process.
	InState time.Duration
	// Heard is the time since a message, an inquiry or an answer of the peer's current process has
	// arrived; negative if none has.
	Heard       time.Duration
	Inquired    bool // an inquiry was sent to the peer since it was last heard from
	MayHold     bool // it has answered that its upstream may hold the flow
	ExcludedFor Exclusion
}

// PeerCounts holds the number of peers that each Exclusion has excluded.
type PeerCounts [exclusionCount]int

// Evidence is what a flow was found to be lost on. Both lists hold at most maxEvidencePeers peers.
type Evidence struct {
	Inquiry    time.Duration // time since the inquiry began
	MayRepeat  bool          // the flow's requests may run more than once
	Denied     int           // number of peers that have answered that their upstream does not hold the flow
	DeniedBy   []string
	Excluded   int // number of peers that were excluded without such an answer
	ExcludedAs []PeerEvidence
	ByRule     PeerCounts
}

// finding is the result of an inquiry about one flow.
type finding struct {
	inquiry   *inquiry
	index     int // of the flow in inquiry.flows
	mayRepeat bool
	lost      bool // no peer's upstream can hold the flow any more
}

// LossEvidence returns the evidence for lost[i] of the last call of CheckSuspects. Call it with
// the same time, before any other method.
func (t *Table) LossEvidence(now time.Duration, i int) Evidence {
	f := &t.lossFindings[i]
	out := Evidence{Inquiry: now - f.inquiry.startedAt, MayRepeat: f.mayRepeat}
	for _, p := range t.peers.list {
		rule := t.exclusion(now, f.inquiry, p, f.index, f.mayRepeat)
		out.ByRule[rule]++
		switch {
		case rule == ExcludedByAnswer:
			if out.Denied++; out.Denied <= maxEvidencePeers {
				out.DeniedBy = append(out.DeniedBy, p.Name)
			}
		case out.Excluded < maxEvidencePeers:
			out.ExcludedAs = append(out.ExcludedAs, p.evidence(now, rule, f.inquiry.answers[p.ID] != nil))
			fallthrough
		default:
			out.Excluded++
		}
	}
	return out
}

func (p *peer) evidence(now time.Duration, rule Exclusion, answered bool) PeerEvidence {
	heard := time.Duration(-1)
	if p.heardAt != never {
		heard = now - p.heardAt
	}
	return PeerEvidence{
		Name: p.Name, State: p.State, Source: p.StateSource, InState: now - p.stateChanged, Heard: heard,
		Inquired: p.unansweredSince != never, MayHold: answered, ExcludedFor: rule,
	}
}

// LossCause is the reason why a flow was recorded as lost.
type LossCause uint8

const (
	// LossUnknown: the flow is not recorded as lost.
	LossUnknown LossCause = iota
	// UpstreamRestarted: the flow was in this agent's table when its upstream restarted.
	UpstreamRestarted
	// UpstreamStopped: the flow was in this agent's table when its upstream was found stopped.
	UpstreamStopped
	// FoundLost: this agent's inquiry has found that no upstream holds the flow.
	FoundLost
)

var lossCauseNames = [...]string{"unknown", "upstream_restarted", "upstream_stopped", "inquiry"}

// String returns the cause's name in logs.
func (c LossCause) String() string {
	if int(c) < len(lossCauseNames) {
		return lossCauseNames[c]
	}
	return "unknown"
}

// RecordedLoss returns why a flow is recorded as lost, and the time since.
func (t *Table) RecordedLoss(now time.Duration, k *packet.Key) (cause LossCause, age time.Duration) {
	r, found := t.lost.byHash[k.Hash()]
	if !found {
		return LossUnknown, 0
	}
	return r.cause, now - r.at
}

// Completeness is the reason why a table counts as listing all flows of its upstream.
type Completeness uint8

const (
	// Incomplete: the upstream may hold flows that this agent does not know.
	Incomplete Completeness = iota
	// StartedWithAgent: the upstream is taken to have started no earlier than this agent.
	StartedWithAgent
	// Rebuilt: the rebuilding phase is over.
	Rebuilt
	// RestoredFromPeers: peers have returned the list of the agent's earlier process.
	RestoredFromPeers
)

var completenessNames = [...]string{"no", "started_with_agent", "rebuilt", "restored"}

// String returns the reason's name in logs.
func (c Completeness) String() string {
	if int(c) < len(completenessNames) {
		return completenessNames[c]
	}
	return "unknown"
}

// Completeness returns why the table counts as complete.
func (t *Table) Completeness(now time.Duration) Completeness {
	switch {
	case t.rebuilt(now):
		return Rebuilt
	case !t.knowsAllFlows():
		return Incomplete
	case t.noEarlierFlows:
		return StartedWithAgent
	}
	return RestoredFromPeers
}

// StateSource is how this process has learned of an upstream's state.
type StateSource uint8

const (
	// StateFromBalancer: a balancer has sent the state. If it is Failed, it is the arbiter's mark
	// or was announced by the upstream's own agent.
	StateFromBalancer StateSource = iota
	// StateFromAgent: the upstream's own agent has sent the state.
	StateFromAgent
)

// String returns the name of the sender in logs.
func (s StateSource) String() string {
	if s == StateFromAgent {
		return "agent"
	}
	return "balancer"
}
