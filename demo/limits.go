package demo

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/standin"
)

// flowLinger is how long a flow counts against its customer's limit after its end: the
// time for which the agent keeps it, and a margin for the interval at which the agent
// removes ended flows.
const flowLinger = 2500 * time.Millisecond

// datedLists holds the lists that an edit produced, and the time at which the edit began.
type datedLists struct {
	at    time.Time
	table *plan.Table
}

// recordLists adds the current lists to the history after an accepted edit.
func (f *fleet) recordLists(began time.Time) error {
	var docs plan.Documents
	for name, text := range map[string]*[]byte{plan.CustomersList: &docs.Customers, plan.PlansList: &docs.Plans} {
		out, err := f.command(name, "get", "--store", "http://"+f.storeAddr.String())
		if err != nil {
			return err
		}
		*text = []byte(out)
	}
	lists, findings := plan.Parse(docs, plan.DefaultFiles, nil)
	if len(findings) > 0 {
		return errors.Wrap(findings, "lists of the deployment")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = append(f.history, datedLists{began, plan.NewTable(lists)})
	return nil
}

// limits compares the connections of customers with their plans.
type limits struct {
	history   []datedLists
	customers []customer
}

// customerService is one customer at one service.
type customerService struct {
	customer int
	service  string
}

// customerOf returns the index of the customer that the source belongs to, or -1.
func (l *limits) customerOf(source netip.Addr) int {
	return slices.IndexFunc(l.customers, func(c customer) bool {
		return slices.ContainsFunc(c.Sources, func(p netip.Prefix) bool { return p.Contains(source) })
	})
}

// limitRange returns the lowest and the highest limit active between from and to. An
// edit may take activeTimeout from its start to be active everywhere, so the limits
// before it also count until then.
func (l *limits) limitRange(at customerService, from, to time.Time) (low, high int) {
	from = from.Add(-activeTimeout)
	source := l.customers[at.customer].Sources[0].Addr()
	first := true
	for i, h := range l.history {
		if h.at.After(to) || (i+1 < len(l.history) && l.history[i+1].at.Before(from)) {
			continue
		}
		limit := 0
		if m, ok := h.table.Lookup(source); ok {
			limit = m.Plan.Services[at.service].Connections
		}
		if first {
			low, high, first = limit, limit, false
		}
		low, high = min(low, limit), max(high, limit)
	}
	return low, high
}

// connectionChange is the start or the end of a connection.
type connectionChange struct {
	at    time.Duration // since the Unix epoch
	delta int           // 1 or -1
}

// connectionChanges returns the starts and ends of the connections of each customer in
// order of time, with the ends delayed by linger. At the same time, ends come before
// starts.
func (l *limits) connectionChanges(upstreams []upstreamReport, linger time.Duration) map[customerService][]connectionChange {
	out := make(map[customerService][]connectionChange)
	for i := range upstreams {
		u := &upstreams[i]
		for _, c := range u.Connections {
			at := customerService{l.customerOf(c.Source), u.Service}
			out[at] = append(out[at], connectionChange{c.Opened, 1})
			if c.Closed != 0 {
				out[at] = append(out[at], connectionChange{c.Closed + linger, -1})
			}
		}
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b connectionChange) int {
			if a.at != b.at {
				return int(a.at - b.at)
			}
			return a.delta - b.delta
		})
	}
	return out
}

// overPlan returns the largest number of connections above its plan that a customer had
// when it opened a connection. Connections that exceed a lowered plan do not count
// unless a further one is opened.
func (l *limits) overPlan(upstreams []upstreamReport) (over int) {
	for at, list := range l.connectionChanges(upstreams, 0) {
		open := 0
		for _, c := range list {
			open += c.delta
			if c.delta < 0 {
				continue
			}
			high := 0
			if at.customer >= 0 {
				t := time.Unix(0, int64(c.at))
				_, high = l.limitRange(at, t, t)
			}
			over = max(over, open-high)
		}
	}
	return over
}

// refusedUnderPlan returns the highest share, over all customers and services, of
// attempts that got no answer although the customer was below its plan during the whole
// attempt.
func (l *limits) refusedUnderPlan(clients *standin.LoadReport, upstreams []upstreamReport) (share float64) {
	open := l.connectionChanges(upstreams, flowLinger)
	total, refused := make(map[customerService]int), make(map[customerService]int)
	for _, a := range clients.Attempts {
		at := customerService{l.customerOf(a.Source), a.Service}
		if at.customer < 0 {
			continue
		}
		total[at]++
		if a.Answered {
			continue
		}
		from, to := clients.Started.Add(a.Opened), clients.Started.Add(a.Ended)
		low, _ := l.limitRange(at, from, to)
		if maxOpen(open[at], time.Duration(from.UnixNano()), time.Duration(to.UnixNano())) < low {
			refused[at]++
		}
	}
	for at, n := range refused {
		share = max(share, float64(n)/float64(total[at]))
	}
	return share
}

// maxOpen returns the maximum number of open connections between from and to.
func maxOpen(list []connectionChange, from, to time.Duration) (highest int) {
	open := 0
	for _, c := range list {
		if c.at > to {
			break
		}
		if c.at > from {
			highest = max(highest, open)
		}
		open += c.delta
	}
	return max(highest, open)
}
