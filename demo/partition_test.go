package demo

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a partition", func() {
	f := func(domain string) *fleet {
		return &fleet{partitionedDomain: domain, domains: map[string]string{"b1": "z1", "b2": "z2", "u3": "z3"}}
	}

	// Guards against a partition that separates no daemons, or daemons of the same side.
	It("separates one failure domain from all others", func() {
		partitions := f("z2").partitions()
		Expect(partitions).To(HaveLen(1))
		Expect(partitions[0].A).To(ConsistOf("b2"))
		Expect(partitions[0].B).To(ConsistOf("b1", "u3"))
	})

	// Guards against a partition that never ends.
	It("is empty without a failure domain", func() {
		Expect(f("").partitions()).To(BeEmpty())
	})
})

var _ = Describe("daemons", func() {
	// Guards against daemons that the relay cannot distinguish by source address, so that
	// it never applies a partition to them.
	It("have control addresses of their own", func() {
		p := newPorts()
		first, err := p.nextHost()
		Expect(err).NotTo(HaveOccurred())
		second, err := p.nextHost()
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Addr()).NotTo(Equal(second.Addr()))
		Expect(first.Addr()).NotTo(Equal(loopback))
	})
})
