package agent

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/request"
)

var _ = Describe("Registrars", func() {
	It("are the ready agents; starting and draining agents are only asked for records", func() {
		// Guards against losing the records of a draining agent, and against waiting for
		// the records of an agent that has left or failed.
		var records []member.Record
		for _, s := range []flow.State{flow.Starting, flow.Ready, flow.Draining, flow.Leaving, flow.Failed} {
			records = append(records, member.Record{Name: s.String(), FailureDomain: "a", Incarnation: uint64(s), State: s})
		}
		registrar := func(m request.Member) bool { return m.Registrar }
		Expect(requestMembers(records)).To(HaveEach(HaveField("FailureDomain", "a")))
		Expect(requestMembers(records)).To(HaveExactElements(
			Not(Satisfy(registrar)), Satisfy(registrar), Not(Satisfy(registrar))))
	})
})
