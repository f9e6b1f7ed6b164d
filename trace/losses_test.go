package trace_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/trace"
)

var _ = Describe("The losses of a day", func() {
	// Guards against flows that are counted once for each line or in the wrong window, and against
	// windows without a loss in the list.
	It("are listed by window with the flows that each cause concerns", func() {
		line := func(second, event, rest string) string {
			return "level=info ts=2026-01-01T00:00:" + second + "Z name=a event=" + event + " msg=x " + rest + "\n"
		}
		log := line("01", "1813", "flow=f1") + line("02", "1000", "") +
			line("02.1", "1801", "flow=f2 reason=no_routes") + line("02.2", "1810", "flow=f2 waited=0.5 copy=1") +
			line("02.3", "1810", "flow=f3 waited=0 copy=2") + line("02.4", "1815", "flow=f4 outcome=dropped reason=no_owner") +
			line("02.5", "1815", "flow=f4 outcome=dropped reason=no_owner") + line("02.6", "1815", "flow=f5 outcome=forwarded") +
			line("02.6", "1815", `flow=f7 outcome="returned by the upstream and dropped" reason=no_owner`) + line("02.6", "1802", "flow=f8 reason=no_service") +
			line("02.7", "1814", "flow=f4") + line("03.9", "1009", "flow_lines=12") + line("04", "1813", "flow=f6")
		records, _, err := trace.Read(strings.NewReader(log))
		Expect(err).NotTo(HaveOccurred())
		windows := []trace.Window{
			{Start: 0, Requests: 9, InTime: 9, Credit: 1},
			{Start: 2 * time.Second, Requests: 10, InTime: 5, Late: 3, Failed: 2, Credit: 0.6},
			{Start: 4 * time.Second, Requests: 0, Credit: 0},
		}
		losses := trace.Losses(windows, records, time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
		Expect(losses).To(HaveLen(1))
		Expect(losses[0].Starts).To(Equal(1))
		Expect(losses[0].Dropped).To(Equal(12))
		Expect(losses[0].Causes).To(Equal(map[string]int{
			"not placed: no_routes": 1, "waited for a slot": 1, "opened by a late copy": 1,
			"packet dropped: no_owner": 2, "upstream lost": 1, "reset: no_service": 1,
		}))
		var out strings.Builder
		Expect(losses[0].Write(&out)).To(Succeed())
		Expect(out.String()).To(HavePrefix("   2.0 s: credit 0.600; of 10 requests 5 in time, 3 late, 2 failed; 1 processes started, 12 lines not logged\n"))
	})
})
