package agent

import (
	"sync"
	"time"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/flow"
)

// flows holds the flow table, which is used for packets, replies, messages of other agents
// and timer steps. Its mutex also guards Agent.admission, Agent.learned and Agent.headers.
// A single lock suffices for one upstream VM, since readers acquire it once per batch.
type flows struct {
	clock daemon.Clock
	mu    sync.Mutex
	table *flow.Table
}

// do calls run with exclusive access to the table.
func (f *flows) do(run func(now time.Duration, t *flow.Table)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	run(f.clock(), f.table)
}

func (f *flows) setState(s flow.State) {
	f.do(func(now time.Duration, t *flow.Table) { t.SetState(now, s) })
}

func (f *flows) open() (n int) {
	f.do(func(_ time.Duration, t *flow.Table) { n = t.Open() })
	return n
}
