package daemon

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A clock", func() {
	// Guards against a process that was suspended with its VM and acts on a permission that has run out meanwhile.
	It("counts the time for which the VM was suspended", func() {
		running, suspended := time.Second, time.Hour
		clock := newClock(func() time.Duration { return running }, func() time.Duration { return suspended })
		Expect(clock()).To(Equal(time.Second))
		suspended += 10 * time.Second
		Expect(clock()).To(Equal(time.Second), "looks seldom")
		running += suspensionCheckInterval
		Expect(clock()).To(Equal(11*time.Second + suspensionCheckInterval))
	})

	// Guards against a clock that goes back because a reading was too low.
	It("never goes back", func() {
		running, suspended := time.Second, time.Hour
		clock := newClock(func() time.Duration { return running }, func() time.Duration { return suspended })
		suspended += 10 * time.Second
		running += suspensionCheckInterval
		before := clock()
		suspended -= 2 * time.Second
		running += suspensionCheckInterval
		Expect(clock()).To(BeNumerically(">=", before))
		suspended -= 2 * time.Hour
		running += suspensionCheckInterval
		Expect(clock()).To(BeNumerically(">=", before))
	})
})
