package trace_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/internal/spec"
	"github.com/nutmegtrack/nutmegtrack/trace"
)

func TestTrace(t *testing.T) { spec.Run(t, "trace") }

var _ = Describe("The history of a flow", func() {
	// Guards against a history that mixes flows, omits steps or shows a state that the
	// process no longer had or did not have yet.
	It("is printed in order, with the state of each process", func() {
		file, err := os.Open("testdata/log.txt")
		Expect(err).NotTo(HaveOccurred())
		defer file.Close()
		records, skipped, err := trace.Read(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(skipped).To(Equal(1))
		histories := trace.Histories(records, "100.64.0.31:1025")
		Expect(histories).To(HaveLen(1))
		var out strings.Builder
		Expect(histories[0].Write(&out)).To(Succeed())
		spec.Golden("story.golden", out.String())
	})

	// Guards against a search by client address that misses flows or finds those of other
	// clients.
	It("is found for all flows of a client by the client's address", func() {
		line := "level=info ts=2026-01-01T00:00:00Z name=a event=1800 msg=x flow="
		records, _, err := trace.Read(strings.NewReader(line + "10.0.0.1:5>1.1.1.1:80\n" + line + "10.0.0.1:6>1.1.1.1:80\n" + line + "10.0.0.11:5>1.1.1.1:80\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(trace.Histories(records, "10.0.0.1")).To(HaveLen(2))
		Expect(trace.Histories(records, "10.0.0.1:5")).To(HaveLen(1))
	})
})

// FuzzRead guards against lines that make Read or Histories panic.
func FuzzRead(f *testing.F) {
	f.Add("level=info ts=2026-01-01T00:00:00Z name=a event=1800 msg=x flow=y")
	f.Fuzz(func(_ *testing.T, text string) {
		records, _, _ := trace.Read(strings.NewReader(text))
		trace.Histories(records, "y")
	})
}
