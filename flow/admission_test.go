package flow

import (
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// fakeAdmission returns a fixed verdict and counts the admitted and released flows.
type fakeAdmission struct {
	verdict            Verdict
	asked              []uint64 // flow numbers passed to Admit
	customer           uint64
	admitted, released int
}

func (a *fakeAdmission) Admit(_ time.Duration, customer, flow uint64) Verdict {
	a.asked, a.customer = append(a.asked, flow), customer
	if a.verdict == Admitted {
		a.admitted++
	}
	return a.verdict
}

func (a *fakeAdmission) Release(_ time.Duration, customer uint64) {
	Expect(customer).To(BeEquivalentTo(7))
	a.released++
}

var _ = Describe("The admission of a table", func() {
	const service packet.ServiceID = 1
	key := packet.KeyOf(netip.MustParseAddrPort("10.0.0.7:40000"), netip.MustParseAddrPort("10.96.0.1:80"), packet.ProtoTCP)
	var (
		admission *fakeAdmission
		table     *Table
	)
	receive := func(now time.Duration, in packet.Info) Action {
		in.Key = key
		return table.Receive(now, &packet.Header{Kind: packet.KindData, Service: service, Customer: 7}, &in)
	}
	syn := packet.Info{First: true}
	BeforeEach(func() {
		admission = &fakeAdmission{}
		cfg := TableConfig{Admission: admission, MaxWaiting: 1}
		table = NewTable(cfg, Upstream{ID: 9, State: Ready}, service, rand.New(rand.NewPCG(1, 1)))
	})

	// Guards against an agent that accepts flows without consulting the admission, or passes
	// it another customer than the packet's.
	It("accepts only admitted flows", func() {
		Expect(receive(0, syn)).To(Equal(Action{Kind: Drop, Reason: ReasonRefused}))
		Expect(table.Open()).To(BeZero())
		admission.verdict = Admitted
		Expect(receive(0, syn).Kind).To(Equal(Deliver))
		Expect(receive(0, syn).Kind).To(Equal(Deliver), "a retransmission belongs to the open flow")
		Expect(admission.admitted).To(Equal(1))
		Expect(admission.customer).To(BeEquivalentTo(7))
	})

	// Guards against a flow whose end releases it not at all or twice.
	It("releases a flow once when it has ended", func() {
		admission.verdict = Admitted
		receive(0, syn)
		receive(time.Second, packet.Info{RST: true})
		for now := 2 * time.Second; now < 10*time.Second; now += time.Second {
			table.Step(now)
		}
		Expect(admission.released).To(Equal(1))
	})

	// Guards against a first packet that is delivered twice: immediately and after the
	// decision, or after two decisions.
	It("decides a waiting flow once", func() {
		admission.verdict = Waiting
		wait := receive(0, syn)
		Expect(wait.Kind).To(Equal(Wait))
		Expect(receive(0, syn)).To(Equal(Action{Kind: Drop, Reason: ReasonWaiting}))
		action, h := table.Decide(time.Second, 7, wait.Flow, Admitted)
		Expect(action.Kind).To(Equal(Deliver))
		Expect(h.Service).To(Equal(service))
		Expect(table.Open()).To(Equal(1))
		action, _ = table.Decide(time.Second, 7, wait.Flow, Admitted)
		Expect(action.Kind).To(Equal(Drop))
		Expect(admission.released).To(Equal(1), "the second admission is released")
	})

	// Guards against unlimited number or waiting time of flows, and against an admission that
	// is not released when the flow of a late admission has timed out.
	It("limits the waiting flows", func() {
		admission.verdict = Waiting
		wait := receive(0, syn)
		other := packet.Info{Key: key, First: true}
		other.Key.SrcPort++
		h := packet.Header{Kind: packet.KindData, Service: service, Customer: 7}
		Expect(table.Receive(0, &h, &other).Reason).To(Equal(ReasonRefused))
		Expect(admission.asked).To(HaveLen(1))
		table.Step(4 * time.Second)
		Expect(table.IsWaiting(wait.Flow)).To(BeFalse())
		action, _ := table.Decide(4*time.Second, 7, wait.Flow, Admitted)
		Expect(action.Kind).To(Equal(Drop))
		Expect(admission.released).To(Equal(1))
	})

	// Guards against a draining agent that accepts a flow because the flow was already
	// waiting.
	It("releases an admission when it no longer accepts flows", func() {
		admission.verdict = Waiting
		wait := receive(0, syn)
		table.SetState(time.Second, Draining)
		action, _ := table.Decide(time.Second, 7, wait.Flow, Admitted)
		Expect(action).To(Equal(Action{Kind: Drop, Reason: ReasonNoUpstream}))
		Expect(admission.released).To(Equal(1))
		Expect(table.Open()).To(BeZero())
	})
})
