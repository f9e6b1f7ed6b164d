package flow

import (
	"net/netip"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/internal/rendezvous"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// A digest says where a flow is, and its silence says nothing: a flow that was opened a
// moment ago may be in a digest that is on its way, or with an upstream that takes another
// agent for the flow's first choice. So before an agent calls a flow lost it asks every
// other agent of the service, and each answers from its own table.

const (
	// inquiryRepeat is the time after which peers that have not answered are asked again;
	// it doubles up to inquiryRepeatMax. A round trip takes some milliseconds, and an agent
	// whose processor is shared may be without it for a tenth of a second.
	inquiryRepeat    = 30 * time.Millisecond
	inquiryRepeatMax = 240 * time.Millisecond
	// inquiryCost is the time for which the next new inquiry waits for each peer that the
	// last one asked: after a power failure all agents ask all others, and flows that turn
	// up meanwhile share the next inquiry.
	inquiryCost = 250 * time.Microsecond
	// answerWait is the time after which a peer that does not answer is taken by its last
	// whole digest. It has been asked four times then, and a VM that is dark is not called
	// failed for seconds.
	answerWait = 400 * time.Millisecond
	// failedWait is the time for which an answer of a failed peer is waited for: it may
	// have been called failed by mistake, and then answers as fast as any other.
	failedWait = 50 * time.Millisecond
	// failedPatience is the time for which a peer must have been failed before flows are
	// called lost whose requests may not be repeated. A VM that only stands still is called
	// failed after 3 s; its upstream may be at work on the request, and the answer still
	// come. Such a client gains nothing by an early end, where others can ask elsewhere.
	failedPatience = 7 * time.Second
)

// inquiry is one question to all peers about some flows.
type inquiry struct {
	number  uint32
	flows   []uint64 // hashes
	began   time.Duration
	next    time.Duration // when peers without an answer are asked again
	pause   time.Duration
	answers map[packet.AgentID][]packet.FlowStatus
	// stranger is an upstream that a peer has named and that this agent does not know.
	stranger packet.AgentID
}

// Ask is an inquiry and the data addresses of the agents that it goes to. It is valid until
// the next call of Look.
type Ask struct {
	Inquiry packet.Inquiry
	To      []netip.AddrPort
}

// Look returns the flows that have turned out to be lost, each once, the inquiries to send,
// and after which time to look again; 0 when no flow is suspected any more. Call it when
// Restless reports true.
func (t *Table) Look(now time.Duration) (lost []LostFlow, asks []Ask, next time.Duration) {
	t.restless = false
	lost = t.takeLost(now)
	if len(t.suspected) == 0 {
		t.inquiries = t.inquiries[:0]
		return lost, nil, 0
	}
	t.endInquiries()
	asks = t.repeatInquiries(now)
	next = lookAgain
	if wait := t.inquiryDue - now; wait > 0 && t.anyUnasked() {
		next = min(next, wait)
	} else if a, begun := t.beginInquiry(now); begun {
		asks = append(asks, a)
	}
	return lost, asks, next
}

// lookAgain is the time between two looks at flows whose peers have not answered.
const lookAgain = 30 * time.Millisecond

// Restless reports that Look should be called at once: a flow is suspected that no peer was
// asked about, or the last answer to an inquiry has come.
func (t *Table) Restless() bool { return t.restless }

// anyUnasked reports whether a suspected flow is in no inquiry.
func (t *Table) anyUnasked() bool {
	return slices.ContainsFunc(t.suspected, func(hash uint64) bool { return t.trials[hash].inquiry == 0 })
}

// beginInquiry asks all peers about the suspected flows that are in no inquiry.
func (t *Table) beginInquiry(now time.Duration) (Ask, bool) {
	q := &inquiry{began: now, pause: inquiryRepeat, answers: make(map[packet.AgentID][]packet.FlowStatus)}
	for _, hash := range t.suspected {
		if tr := t.trials[hash]; tr.inquiry == 0 && len(q.flows) < packet.MaxInquiryFlows && t.firstChoiceOf(hash) {
			q.flows = append(q.flows, hash)
		}
	}
	if len(q.flows) == 0 {
		return Ask{}, false
	}
	t.lastInquiry++
	if t.lastInquiry == 0 {
		t.lastInquiry++
	}
	q.number = t.lastInquiry
	for _, hash := range q.flows {
		tr := t.trials[hash]
		tr.inquiry = q.number
		t.trials[hash] = tr
	}
	t.inquiries = append(t.inquiries, q)
	ask := t.ask(now, q)
	t.inquiryDue = now + time.Duration(len(ask.To))*inquiryCost
	return ask, true
}

// repeatInquiries asks again the peers that have not answered, or not for sure.
func (t *Table) repeatInquiries(now time.Duration) (out []Ask) {
	for _, q := range t.inquiries {
		if now < q.next {
			continue
		}
		if a := t.ask(now, q); len(a.To) > 0 {
			out = append(out, a)
		}
	}
	return out
}

// ask sends the inquiry to the peers whose answer is missing.
func (t *Table) ask(now time.Duration, q *inquiry) Ask {
	a := Ask{Inquiry: packet.Inquiry{From: t.self.ID, Number: q.number, Peers: t.peersSum, Flows: q.flows}}
	for _, p := range t.peers.list {
		if p.State != Leaving && !settledAnswer(q.answers[p.ID]) {
			a.To = append(a.To, p.Addr)
		}
	}
	q.next = now + q.pause
	q.pause = min(2*q.pause, inquiryRepeatMax)
	t.counters.Asked += uint64(len(a.To))
	return a
}

// settledAnswer reports whether a peer has answered for every flow of an inquiry.
func settledAnswer(standings []packet.FlowStatus) bool {
	return standings != nil && !slices.Contains(standings, packet.MaybeHeld)
}

// endInquiries forgets the inquiries of which no flow is suspected any more.
func (t *Table) endInquiries() {
	t.inquiries = slices.DeleteFunc(t.inquiries, func(q *inquiry) bool {
		return !slices.ContainsFunc(q.flows, func(hash uint64) bool {
			tr, known := t.trials[hash]
			return known && tr.suspected && tr.inquiry == q.number
		})
	})
}

// Answer returns what this agent says of the flows in a peer's inquiry.
func (t *Table) Answer(now time.Duration, q *packet.Inquiry) packet.InquiryAnswer {
	a := packet.InquiryAnswer{From: t.self.ID, Number: q.Number, Statuses: make([]packet.FlowStatus, len(q.Flows))}
	for i, hash := range q.Flows {
		a.Statuses[i] = t.standing(now, hash)
	}
	if q.Peers != t.peersSum {
		a.Peers = append(a.Peers, t.self.ID)
		for _, p := range t.peers.list {
			if p.State != Leaving {
				a.Peers = append(a.Peers, p.ID)
			}
		}
	}
	return a
}

// standing returns whether this agent's upstream holds the flow.
func (t *Table) standing(now time.Duration, hash uint64) packet.FlowStatus {
	if t.flows.hasHash(hash) {
		return packet.Held
	}
	tr, tried := t.trials[hash]
	switch {
	case t.lost.has(now, hash), tried && tr.returned, t.whole(now):
		return packet.NotHeld
	case tried && now-tr.at >= trialTime:
		return packet.Held // shown to the upstream and not returned
	}
	return packet.MaybeHeld
}

// Answered takes a peer's answer to an inquiry. Answers of agents that are no peers, and to
// inquiries that are over, are ignored.
func (t *Table) Answered(now time.Duration, a *packet.InquiryAnswer) {
	i := slices.IndexFunc(t.inquiries, func(q *inquiry) bool { return q.number == a.Number })
	if i < 0 || t.peers.get(a.From) == nil || len(a.Statuses) != len(t.inquiries[i].flows) {
		return
	}
	q := t.inquiries[i]
	q.answers[a.From] = a.Statuses
	for j, s := range a.Statuses {
		if s == packet.Held && !t.flows.hasHash(q.flows[j]) {
			t.handoffs.remember(now, q.flows[j], a.From)
			t.counters.Found++
		}
	}
	for _, id := range a.Peers {
		if id != t.self.ID && t.peers.get(id) == nil {
			q.stranger = id
		}
	}
	t.restless = t.restless || !slices.ContainsFunc(t.peers.list, func(p *peer) bool {
		return !p.State.Gone() && q.answers[p.ID] == nil
	})
}

// notHeld returns for each flow of an inquiry whether all peers are known not to hold it.
func (t *Table) notHeld(now time.Duration, q *inquiry) []bool {
	out := make([]bool, len(q.flows))
	if q.stranger != 0 && t.peers.get(q.stranger) == nil {
		return out
	}
	for i := range out {
		out[i] = true
	}
	for _, p := range t.peers.list {
		standings := q.answers[p.ID]
		if standings == nil {
			for i, hash := range q.flows {
				out[i] = out[i] && !t.heldWithoutAnswer(now, q, p, t.trials[hash].mayRepeat)
			}
			continue
		}
		for i, s := range standings {
			out[i] = out[i] && s == packet.NotHeld
		}
	}
	return out
}

// hasDenied reports whether a peer has answered that it does not hold the flow.
func (t *Table) hasDenied(hash uint64, peer packet.AgentID) bool {
	number := t.trials[hash].inquiry
	for _, q := range t.inquiries {
		if q.number != number {
			continue
		}
		standings := q.answers[peer]
		return standings != nil && standings[slices.Index(q.flows, hash)] == packet.NotHeld
	}
	return false
}

// heldWithoutAnswer reports whether a peer that has not answered an inquiry may hold a
// flow of it, whose requests may be repeated or not.
func (t *Table) heldWithoutAnswer(now time.Duration, q *inquiry, p *peer, mayRepeat bool) bool {
	switch {
	case p.State == Leaving:
		return false
	case p.State == Failed:
		return now-q.began < failedWait || !mayRepeat && now-p.changed < failedPatience
	case p.State == Away:
		return now-p.changed < awayLimit
	case t.silentFor(now, p):
		return false
	}
	return now-q.began < answerWait || !p.in.whole || !p.in.complete
}

// sumOfPeers identifies the upstreams that may hold flows, this agent's included.
func (t *Table) sumOfPeers() uint64 {
	sum := rendezvous.Mix(uint64(t.self.ID))
	for _, p := range t.peers.list {
		if p.State != Leaving {
			sum += rendezvous.Mix(uint64(p.ID))
		}
	}
	return sum
}
