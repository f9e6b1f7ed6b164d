package event_test

import (
	"io"
	"testing"

	"github.com/nutmegtrack/nutmegtrack/event"
)

// BenchmarkFlowLine measures one line about a flow, which is logged on the packet path.
func BenchmarkFlowLine(b *testing.B) {
	l := event.NewLogger(io.Discard, "name", "side-1")
	b.ReportAllocs()
	for b.Loop() {
		l.LogFlow(event.FlowDelivered, "flow", "100.64.0.31:1025>198.18.0.1:8443", "copy", uint8(0), "hops", uint8(0),
			"state", "ready", "busy", 0, "opening", 1, "slots", 5, "waiting", 0, "open", 1, "waited", 0.0, "from", "10.1.0.26:7240")
	}
}
