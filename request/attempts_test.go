package request

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("Attempts", func() {
	id := AttemptID{Number: 1, Agent: 1, Incarnation: 1}
	key, other := KeyOf("s", "c", "k"), KeyOf("s", "ck", "")
	find := func(t *Attempts) Message {
		return t.Find(Message{Key: key, Other: id}, process(0))
	}

	ginkgo.It("drops and counts late outcomes and those with another key", func() {
		// Guards against a caller that receives the answer to another request.
		t := NewAttempts(AttemptsConfig{})
		t.Open(id, key)
		Expect(t.End(0, id, other, Done, ReasonNone, &Answer{})).To(BeFalse())
		Expect(t.End(0, id, key, Done, ReasonNone, &Answer{Status: 200})).To(BeTrue())
		Expect(t.End(0, id, key, Done, ReasonNone, &Answer{Status: 500})).To(BeFalse())
		Expect([]uint64{t.KeyMismatches, t.LateOutcomes}).To(Equal([]uint64{1, 1}))
		Expect(find(t).Answer.Status).To(Equal(200))
		Expect(t.Find(Message{Key: other, Other: id}, process(0)).Outcome).To(Equal(Unknown))
	})

	ginkgo.It("stores small answers for the retention time and large ones without their body", func() {
		// Guards against memory use that grows with the size of the answers.
		t := NewAttempts(AttemptsConfig{MaxBodyBytes: 2, Retention: time.Minute})
		t.Open(id, key)
		Expect(find(t).Verdict).To(Equal(Pending))
		t.End(0, id, key, Done, ReasonNone, &Answer{Body: []byte("abc")})
		Expect(find(t).Answer).To(Equal(&Answer{TooLong: true}))
		t.Step(time.Minute)
		Expect(find(t).Outcome).To(Equal(Unknown))
	})

	ginkgo.It("keeps nothing of an attempt without a key", func() {
		// Guards against memory use that grows with the rate of requests without a key, which no
		// retry queries.
		n := newTestNode(0, NodeConfig{}, 0)
		for range 10 {
			ticket := n.Submit(0, request("", time.Minute))
			n.Finish(0, ticket, Done, ReasonNone, &Answer{Status: 200, Body: []byte("a")})
			n.Free(0, ticket)
		}
		Expect(n.attempts.table).To(BeEmpty())
		Expect(n.attempts.expiry).To(BeEmpty())
		Expect(n.attempts.bodyBytes).To(BeZero())
	})

	ginkgo.It("limits the total size of all stored bodies", func() {
		// Guards against memory use that grows with the rate of keyed requests.
		t := NewAttempts(AttemptsConfig{MaxTotalBytes: 3, Retention: time.Minute})
		next := AttemptID{Number: 2, Agent: 1, Incarnation: 1}
		for _, x := range []AttemptID{id, next} {
			t.Open(x, key)
			t.End(0, x, key, Done, ReasonNone, &Answer{Body: []byte("ab")})
		}
		Expect(find(t).Answer.Body).To(HaveLen(2))
		Expect(t.table[next].answer.TooLong).To(BeTrue())
		t.Step(time.Minute)
		Expect(t.bodyBytes).To(BeZero())
	})

	ginkgo.It("panics when a request is reported as not run after it may have reached the upstream", func() {
		// Guards against a wrong "not run", after which the caller would run the request again.
		t := NewAttempts(AttemptsConfig{})
		t.Open(id, key)
		t.Sent(id)
		Expect(func() { t.End(0, id, key, NotRun, ReasonCanceled, nil) }).To(PanicWith(ContainSubstring("not run after its request may have reached the upstream")))
	})
})
