package event_test

import (
	"bytes"
	"io"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/event"
)

// blockedWriter is the writer of a log whose reader reads nothing until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	read    bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read.Write(b)
}

var _ = Describe("A queued logger", func() {
	// Guards against packets that wait for a slow reader of the log, and against lines
	// that are dropped without a report.
	It("never blocks, and counts the lines that it drops", func() {
		w := &blockedWriter{release: make(chan struct{})}
		l := event.NewQueued(w, "name", "x")
		for range 5000 {
			l.Log(event.Started)
		}
		close(w.release)
		l.Close()
		w.mu.Lock()
		defer w.mu.Unlock()
		lines := strings.Count(w.read.String(), "event=1000")
		Expect(lines).To(BeNumerically("<", 5000))
		Expect(lines).To(BeNumerically(">=", 1024))
	})

	// Guards against a log whose volume grows with the load.
	It("limits the lines about single flows and counts those that it drops", func() {
		var out bytes.Buffer
		l := event.NewQueued(&out)
		for range 1000 {
			l.LogFlow(event.FlowPlaced)
		}
		l.Close()
		Expect(strings.Count(out.String(), "event=1800")).To(BeNumerically("<", 300))
		Expect(out.String()).To(MatchRegexp(`event=1009 .*flow_lines=[1-9]`))
	})

	// Guards against a reset without a line that explains it, because the lines of other flows have used up the limit.
	It("reserves lines for events that explain why a flow was broken", func() {
		var w bytes.Buffer
		l := event.NewQueued(&w)
		for range 1000 {
			l.LogFlow(event.FlowPlaced)
		}
		for range 50 {
			l.LogFlowEnd(event.FlowReset)
		}
		l.Close()
		Expect(strings.Count(w.String(), "event=1814")).To(Equal(50))
	})

	// Guards against a process that does not exit because its log is not read.
	It("closes although the log is not read", func() {
		r, w := io.Pipe()
		defer r.Close()
		l := event.NewQueued(w)
		l.Log(event.Started)
		l.Close()
	})
})
