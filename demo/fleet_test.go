package demo

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a fleet", func() {
	// Guards against an action that picks a balancer without a process, because a
	// concurrent action is about to start it.
	It("picks only balancers whose process was started", func() {
		started := &balancerVM{process: &process{}}
		f := &fleet{balancers: []*balancerVM{{}, started, {}}}
		rng := rand.New(rand.NewPCG(1, 1))
		for range 20 {
			Expect(randomBalancer(f, rng)).To(BeIdenticalTo(started))
		}
	})
})
