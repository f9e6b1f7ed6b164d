package flow

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// powerCycle restarts all agents and upstreams at once, as after a power failure of all VMs. The
// upstreams of the agents in unstarted have not announced themselves.
func (u *upstreamRig) powerCycle(unstarted ...string) {
	for _, p := range slices.Clone(u.list) {
		u.restartAgent(p.Name)
	}
	for i := range u.list {
		name := u.list[i].Name
		u.held[name] = map[packet.Key]bool{}
		u.list[i].State = Starting
		u.agents[u.list[i].ID].SetState(u.now, Starting)
		if !slices.Contains(unstarted, name) {
			u.list[i].Start += 1000
			u.agents[u.list[i].ID].SetUpstreamStart(u.now, u.list[i].Start, true)
		}
	}
	u.announce()
	u.now += peerListSettleTime
	u.exchangeMessages()
}

// exchangeMessages delivers the due messages of all agents.
func (u *upstreamRig) exchangeMessages() {
	for _, p := range u.list {
		for _, m := range u.agents[p.ID].Step(u.now) {
			u.agents[m.To].Handle(u.now, m)
		}
	}
}

// answerReceived lets an agent that was paused answer the inquiries that it has received.
func (u *upstreamRig) answerReceived(paused, from string) {
	t := u.agents[u.named(from).ID]
	for _, q := range t.inquiries {
		a := u.agents[u.named(paused).ID].AnswerInquiry(u.now, &packet.Inquiry{From: t.self.ID, Number: q.number, Peers: t.peersChecksum, Flows: q.flows})
		t.HandleInquiryAnswer(u.now, &a)
	}
}

// firstLoss runs the suspect checks of an agent until a flow is found to be lost or the time limit
// has passed, and returns the time that it took.
func (u *upstreamRig) firstLoss(name string, limit time.Duration) (lost []LostFlow, took time.Duration) {
	began := u.now
	for u.now-began < limit {
		if lost = u.findLost(name); len(lost) > 0 {
			break
		}
		u.now += suspectCheckInterval
	}
	return lost, u.now - began
}

// Load pattern: a fleet of 46 upstreams loses power, and the clients of all upstreams retransmit on
// flows that have ended. Seen on the deployment tkl-ub-schools-grown, day trouble-1.
var _ = Describe("Lost flows of a fleet that has lost power", func() {
	const fleet = 46
	var (
		u    *upstreamRig
		gone []string // agents that do not answer
	)
	// suspect sends a packet of a lost flow whose first choice is the first agent.
	suspect := func(mayRepeat bool) {
		first := u.list[0].Name
		u.class = packet.NewClass(1, 300*time.Millisecond, mayRepeat)
		u.sendPacket(first, data(u.keyRanked(packet.ProtoTCP, first)))
		Expect(u.agents[u.list[0].ID].HasSuspects()).To(BeTrue())
	}
	BeforeEach(func() {
		u = newUpstreamRig(fleet)
		for _, t := range u.agents {
			t.cfg.DigestRate = 64 << 10 // a digest for each of 45 peers
		}
		u.run(time.Second)
		gone = gone[:0]
		for i := fleet - 4; i < fleet; i++ {
			gone = append(gone, u.list[i].Name)
			u.silent[u.list[i].Name] = true
		}
	})

	// Guards against clients that wait until their deadline because VMs that had been released
	// started once more, announced themselves and were removed: their agents have sent a digest
	// message, so they do not count as VMs that were removed earlier, and a balancer marks them
	// as failed only after five seconds.
	It("are reset although four VMs fall silent before their upstreams have started", func() {
		u.powerCycle(gone...)
		suspect(true)
		lost, took := u.firstLoss(u.list[0].Name, 5*time.Second)
		Expect(lost).To(HaveLen(1))
		Expect(took).To(BeNumerically("<=", peerSilenceTimeoutAfterOutage+suspectCheckInterval))
		Expect(u.agents[u.list[0].ID].SilentPeers(u.now)).To(Equal(len(gone)))
	})

	// Guards against the end of a request that may run only once while its upstream may be
	// behind a VM that is only cut off: its client cannot retry elsewhere.
	It("are not reset for a silent VM if their requests may run only once", func() {
		u.powerCycle(gone...)
		suspect(false)
		lost, _ := u.firstLoss(u.list[0].Name, suspectTimeout)
		Expect(lost).To(BeEmpty())
	})

	// Guards against a reset of a flow whose upstream runs on beside an agent that has restarted
	// and is then paused for less than the time after which it counts as absent.
	It("do not include an open flow of an upstream whose agent is paused", func() {
		paused := gone[0]
		k := u.keyRanked(packet.ProtoTCP, u.list[0].Name)
		u.powerCycle(gone...)
		u.held[paused][k] = true
		delete(u.silent, gone[1])
		delete(u.silent, gone[2])
		delete(u.silent, gone[3])
		suspect(true)
		lost, _ := u.firstLoss(u.list[0].Name, peerSilenceTimeoutAfterOutage-2*suspectCheckInterval)
		Expect(lost).To(BeEmpty())
		// Awake, it answers the inquiries that it finds in its socket. Its answer is not
		// conclusive until the probe with the flow's packet has shown that its upstream holds the
		// flow.
		delete(u.silent, paused)
		u.answerReceived(paused, u.list[0].Name)
		lost, _ = u.firstLoss(u.list[0].Name, time.Second)
		Expect(lost).To(BeEmpty())
		u.sendHinted(paused, data(k))
		u.reply(paused, k)
		lost, _ = u.firstLoss(u.list[0].Name, 2*time.Second)
		Expect(lost).To(BeEmpty())
		Expect(u.agents[u.list[0].ID].HasSuspects()).To(BeFalse())
	})

	// Guards against waiting for an answer that an agent cannot improve any more: it answered
	// that its upstream may hold the flow, and its VM was removed.
	It("are reset although a VM falls silent after an inconclusive answer", func() {
		u.powerCycle(gone...)
		delete(u.silent, gone[0])
		suspect(true)
		Expect(u.findLost(u.list[0].Name)).To(BeEmpty())
		u.silent[gone[0]] = true
		u.setState(gone[0], Failed)
		u.announce()
		lost, _ := u.firstLoss(u.list[0].Name, 5*time.Second)
		Expect(lost).To(HaveLen(1))
	})

	// Guards against an agent that was paused and acts on the time that has passed before it reads
	// the answers that have arrived meanwhile.
	It("are not reset by an agent that was paused itself", func() {
		u.powerCycle(gone...)
		suspect(true)
		Expect(u.findLost(u.list[0].Name)).To(BeEmpty())
		u.now += 3 * peerSilenceTimeoutAfterOutage
		Expect(u.findLost(u.list[0].Name)).To(BeEmpty())
	})

	// Guards against the same for a peer that has sent its complete digest, which does not list a
	// flow that was opened just before the pause.
	It("do not include a young flow when the agent was paused itself", func() {
		u.run(2 * time.Second)
		first, owner := u.list[0].Name, u.list[1].Name
		k := u.keyRanked(packet.ProtoTCP, first, owner)
		u.sendPacket(owner, numbered(k, 0))
		u.silent[owner] = true
		t := u.agents[u.list[0].ID]
		t.markSuspect(u.now, k.Hash(), &packet.Header{}, &packet.Info{Key: k})
		Expect(u.findLost(first)).To(BeEmpty())
		u.now += 3 * time.Second
		Expect(u.findLost(first)).To(BeEmpty())
		delete(u.silent, owner)
		u.now += inquiryRetryInterval
		Expect(u.findLost(first)).To(BeEmpty())
		Expect(t.HasSuspects()).To(BeFalse())
	})

	// Guards against a peer that counts as silent because an inquiry long ago was lost.
	It("are not reset for one old inquiry without an answer", func() {
		u.powerCycle(gone...)
		t := u.agents[u.list[0].ID]
		for _, p := range t.peers.list {
			p.noteInquirySent(u.now)
		}
		u.now += 3 * peerSilenceTimeoutAfterOutage
		suspect(true)
		lost, _ := u.firstLoss(u.list[0].Name, peerSilenceTimeoutAfterOutage-2*suspectCheckInterval)
		Expect(lost).To(BeEmpty())
	})

	// Guards against counting an agent as absent that does not answer one inquiry but sends
	// digests meanwhile.
	It("are not reset while a VM that does not answer inquiries sends messages", func() {
		u.powerCycle(gone...)
		suspect(true)
		for range 40 {
			Expect(u.findLost(u.list[0].Name)).To(BeEmpty())
			u.now += 100 * time.Millisecond
			for _, name := range gone {
				u.agents[u.list[0].ID].Handle(u.now, Message{From: u.named(name).ID, To: u.list[0].ID, Incarnation: u.named(name).Incarnation})
			}
		}
	})
})
