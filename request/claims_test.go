package request

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("The grants of an attempt", func() {
	const lifetime = 100 * ms
	var (
		c   *Claims
		key = KeyOf("s", "c", "k")
		own = AttemptID{Number: 1, Agent: member(0).ID, Incarnation: 1}
		// other has the higher number, so that the attempt keeps its claims.
		other = AttemptID{Number: 2, Agent: member(1).ID, Incarnation: 1}
	)
	reply := func(now time.Duration, registrar int, m Message) {
		p := c.view.pair(key)
		m.Kind, m.From, m.To, m.Key, m.Pair = KindClaimReply, p[registrar].Process, process(0), key, p
		m.Attempt = c.table[own].roundID(own)
		c.HandleClaimReply(now, m)
	}
	releases := func() (n int) {
		out, _ := c.Take()
		for _, m := range out {
			if m.Kind == KindRelease {
				n++
			}
		}
		return n
	}
	ginkgo.BeforeEach(func() {
		c = NewClaims(ClaimsConfig{GrantLifetime: lifetime}, process(0))
		c.SetMembers(0, members(0, 1, 2, 3))
		c.Claim(0, own, key)
		reply(ms, 0, Message{Verdict: Granted})
	})

	ginkgo.It("keep their lifetime when the attempt claims again", func() {
		// Guards against a start by a grant whose record has been released or has expired.
		reply(ms, 1, Message{Verdict: Held, Other: other})
		c.HandleFindReply(60*ms, Message{Key: key, Attempt: own, Other: other, Verdict: Ended, Outcome: NotRun})
		reply(70*ms, 1, Message{Verdict: Granted})
		Expect(c.Ready(lifetime-1, own)).To(BeTrue())
		Expect(c.Ready(lifetime, own)).To(BeFalse())
	})

	ginkgo.It("expire while the attempt waits for the outcome of another", func() {
		// Guards against the same for an attempt that waits long for the attempt that holds the key.
		reply(ms, 1, Message{Verdict: Held, Other: other})
		late := Message{Kind: KindClaimReply, From: c.view.pair(key)[1].Process, Key: key, Pair: c.view.pair(key), Attempt: own, Verdict: Granted}
		c.Step(lifetime)
		Expect(releases()).To(Equal(2))
		Expect(c.table[own].granted).To(Equal([2]bool{}))
		c.HandleClaimReply(lifetime, late)
		Expect(c.table[own].granted).To(Equal([2]bool{}), "a grant of the former round")
	})

	ginkgo.It("let it release the claim of an agent that left only after the end of that claim's grant", func() {
		// Guards against a release while the agent, marked as failed by mistake, may start.
		gone := AttemptID{Number: 3, Agent: member(8).ID, Incarnation: 1}
		c.Take()
		reply(ms, 1, Message{Verdict: Held, Other: gone})
		Expect(releases()).To(BeZero())
		Expect(c.MayRunElsewhere(own)).To(BeTrue())
		reply(lifetime, 1, Message{Verdict: Held, Other: gone, Expired: true})
		Expect(releases()).To(BeZero(), "its own grant has expired, and proves nothing any more")
		c.Step(lifetime)
		c.Take()
		reply(lifetime, 0, Message{Verdict: Granted})
		reply(lifetime, 1, Message{Verdict: Held, Other: gone, Expired: true})
		Expect(releases()).To(Equal(2))
		Expect(c.MayRunElsewhere(own)).To(BeFalse())
	})
})
