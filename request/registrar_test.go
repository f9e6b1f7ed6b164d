package request

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// completePulls steps the registrars and delivers their pulls until they are complete.
func completePulls(now time.Duration, list ...*Registrar) {
	byProcess := map[Process]*Registrar{}
	for _, r := range list {
		byProcess[r.self] = r
	}
	for range 3 {
		for _, r := range list {
			for _, m := range r.Step(now) {
				if peer := byProcess[m.To]; peer != nil {
					if reply, ok := peer.HandlePull(now, m); ok {
						r.HandlePullReply(now, reply)
					}
				}
			}
		}
		now += pullInterval
	}
}

const pullInterval = 200 * ms

var _ = ginkgo.Describe("Registrar", func() {
	var (
		all []*Registrar
		key Key
		p   Pair
	)
	claim := func(now time.Duration, r *Registrar, number uint64) Verdict {
		a := AttemptID{Number: number, Agent: 9, Incarnation: 1}
		return r.Claim(now, Message{Key: key, Attempt: a, Pair: r.current.pair(key)}).Verdict
	}
	registrarOf := func(p RegistrarID) *Registrar { return all[p.ID-1] }
	removeMembers := func(now time.Duration, gone ...RegistrarID) (left []*Registrar) {
		var list []Member
		for _, r := range all {
			if !(Pair{gone[0], gone[len(gone)-1]}).Has(r.self) {
				left = append(left, r)
				list = append(list, member(int(r.self.ID)-1))
			}
		}
		for _, r := range left {
			r.SetMembers(now, list)
		}
		return left
	}
	ginkgo.BeforeEach(func() {
		all = nil
		key = KeyOf("s", "c", "k")
		for i := range 4 {
			r := NewRegistrar(RegistrarConfig{NewService: true}, process(i))
			r.SetMembers(0, members(0, 1, 2, 3))
			all = append(all, r)
		}
		completePulls(0, all...)
		p = all[0].current.pair(key)
	})

	ginkgo.It("ranks two registrars of different failure domains", func() {
		// Guards against losing both records when one failure domain fails.
		for n := byte(0); n < 100; n++ {
			p := all[0].current.pair(Key{n, 1, n})
			Expect(member(int(p[0].ID) - 1).FailureDomain).NotTo(Equal(member(int(p[1].ID) - 1).FailureDomain))
		}
	})

	ginkgo.It("grants a key to one attempt until it is released", func() {
		// Guards against a second run by a retry.
		r := registrarOf(p[0])
		Expect(claim(0, r, 1)).To(Equal(Granted))
		Expect(claim(0, r, 1)).To(Equal(Granted))
		Expect(claim(0, r, 2)).To(Equal(Held))
		r.Release(key, AttemptID{Number: 2, Agent: 9, Incarnation: 1})
		Expect(claim(0, r, 2)).To(Equal(Held))
		r.Release(key, AttemptID{Number: 1, Agent: 9, Incarnation: 1})
		Expect(claim(0, r, 2)).To(Equal(Granted))
	})

	ginkgo.It("says that a holder cannot start any more only after the end of its grant and a margin", func() {
		// Guards against a release of a claim by which an agent with a late or slow clock may start.
		r := registrarOf(p[0])
		send := func(now, within time.Duration, number uint64, holding bool) Message {
			a := AttemptID{Number: number, Agent: 9, Incarnation: 1}
			return r.Claim(now, Message{Key: key, Attempt: a, Pair: p, StartWithin: within, Holding: holding})
		}
		send(0, 2*time.Second, 1, false)
		Expect(send(2*time.Second+grantEndMargin-1, 0, 2, false).Expired).To(BeFalse())
		Expect(send(2*time.Second+grantEndMargin, 0, 2, false).Expired).To(BeTrue())
		send(3*time.Second, 0, 1, true)
		Expect(send(time.Minute, 0, 2, false).Expired).To(BeFalse(), "it runs")
		// The first registrar sends its record when it stays a member.
		left := removeMembers(time.Minute, p[1])
		completePulls(time.Minute, left...)
		for _, other := range left {
			if q := other.current.pair(key); other != r && q.Has(other.self) {
				m := other.Claim(2*time.Minute, Message{Key: key, Attempt: AttemptID{Number: 2, Agent: 9, Incarnation: 1}, Pair: q})
				Expect(m.Verdict).To(Equal(Held))
				Expect(m.Expired).To(BeFalse(), "it runs by a record that was handed over")
			}
		}
	})

	ginkgo.It("refuses claims as a new registrar until it has the records", func() {
		// Guards against a second run granted by a registrar that has no record of the first
		// attempt.
		claim(0, registrarOf(p[0]), 1)
		claim(0, registrarOf(p[1]), 1)
		left := removeMembers(time.Second, p[1])
		next := left[0].current.pair(key)
		joined := next[0]
		if joined == p[0] {
			joined = next[1]
		}
		Expect(claim(time.Second, registrarOf(joined), 2)).To(Equal(Refused))
		completePulls(time.Second, left...)
		Expect(claim(2*time.Second, registrarOf(joined), 2)).To(Equal(Held))
	})

	ginkgo.It("does not hand over its records while its own view is older", func() {
		// Guards against a grant under the earlier pair after the records were handed over.
		left := removeMembers(time.Second, p[1])
		registrarOf(p[0]).SetMembers(time.Second, members(0, 1, 2, 3))
		completePulls(time.Second, left...)
		for _, r := range left {
			Expect(r.self == p[0].Process || r.complete != r.current).To(BeTrue())
		}
	})

	ginkgo.It("pulls the records again after it was marked as failed without its knowledge", func() {
		// Guards against an agent that was paused and lacks the records of requests that ran
		// meanwhile.
		paused := registrarOf(p[1])
		left := removeMembers(time.Second, p[1])
		completePulls(time.Second, left...)
		for _, r := range left {
			claim(2*time.Second, r, 1)
		}
		list := members(0, 1, 2, 3)
		list[p[1].ID-1].Version++
		for _, r := range all {
			r.SetMembers(3*time.Second, list)
		}
		Expect(claim(3*time.Second, paused, 2)).To(Equal(Refused))
		completePulls(3*time.Second, all...)
		Expect(claim(4*time.Second, paused, 2)).To(Equal(Held))
	})

	ginkgo.It("refuses claims for the retention time after both registrars failed at once", func() {
		// Guards against a second run after the only two records were lost.
		claim(0, registrarOf(p[0]), 1)
		claim(0, registrarOf(p[1]), 1)
		left := removeMembers(time.Second, p[0], p[1])
		completePulls(time.Second, left...)
		now := 15*time.Minute - time.Second
		Expect(claim(now, left[0], 2)).To(Equal(Refused))
		Expect(claim(now+3*time.Second, left[0], 2)).To(Equal(Granted))
	})

	ginkgo.It("does not refuse claims after its registrars failed one after the other with a hand-over in between", func() {
		// Guards against treating records as lost that a completed hand-over has copied.
		claim(0, registrarOf(p[0]), 1)
		claim(0, registrarOf(p[1]), 1)
		all = removeMembers(time.Second, p[1])
		completePulls(time.Second, all...)
		left := removeMembers(time.Minute, p[0])
		completePulls(time.Minute, left...)
		Expect(claim(2*time.Minute, left[0], 2)).To(Equal(Held))
	})

	ginkgo.It("refuses claims as the first agent of a service that is not known to be new", func() {
		// Guards against second runs after all agents were replaced at once.
		r := NewRegistrar(RegistrarConfig{}, process(0))
		r.SetMembers(0, members(0))
		completePulls(0, r)
		Expect(claim(time.Second, r, 1)).To(Equal(Refused))
		Expect(claim(15*time.Minute+time.Second, r, 1)).To(Equal(Granted))
	})
})
