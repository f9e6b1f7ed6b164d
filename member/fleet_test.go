package member_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/fake"
	"github.com/nutmegtrack/nutmegtrack/flow"
)

var _ = Describe("a fleet", func() {
	It("converges under loss, duplication and reordering", func() {
		f := newFleet(1)
		f.net.Faults = fake.Faults{MinDelay: time.Millisecond, MaxDelay: 80 * time.Millisecond, Loss: 0.1, Duplication: 0.1}
		f.start(6, 10)
	})

	It("marks a dead upstream as failed and keeps it out of no view", func() {
		f := newFleet(2)
		f.start(4, 7)
		f.kill("u3")
		f.net.Run(10 * time.Second)
		Expect(f.states("u3")).To(HaveEach(flow.Failed))
		f.expectConverged()
	})
})
