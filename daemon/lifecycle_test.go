package daemon_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/daemon"
)

var _ = Describe("A periodic step", func() {
	// Guards against a start or an urgent event that is handled only after the next
	// interval.
	It("runs immediately and when it is woken", func() {
		l := daemon.NewLifecycle()
		l.Supervise(func() {}, func() {})
		steps, w := make(chan int), daemon.NewWaker()
		l.EveryOrOnWake(time.Hour, w, func() { steps <- 1 })
		Expect(<-steps).To(Equal(1))
		w.Wake()
		Expect(<-steps).To(Equal(1))
		l.Shutdown()
		<-l.Done()
	})

	// Guards against one step for each of many simultaneous events, and against a Wake
	// that blocks.
	It("combines wakes before the step into one", func() {
		w := daemon.NewWaker()
		for range 3 {
			w.Wake()
		}
		Expect(w).To(Receive())
		Expect(w).NotTo(Receive())
	})
})
