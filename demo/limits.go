package demo

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/standin"
)

// tokenLinger is how long a flow counts against its customer's limit after its end: the
// time for which the agent keeps it, and a margin for the interval at which the agent
// removes ended flows.
const tokenLinger = 2500 * time.Millisecond

// listsAt holds the lists that an edit produced, and the time at which the edit began.
type listsAt struct {
	at    time.Time
	table *plan.Table
}

// recordLists adds the current lists to the history after an accepted edit.
func (f *fleet) recordLists(began time.Time) error {
	var docs plan.Documents
	for name, text := range map[string]*[]byte{plan.CustomersList: &docs.Customers, plan.PlansList: &docs.Plans} {
		out, err := f.command(name, "get", "--store", "http://"+f.store.String())
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
	f.history = append(f.history, listsAt{began, plan.NewTable(lists)})
	return nil
}

// limits compares the connections of customers with their plans.
type limits struct {
	history   []listsAt
	customers []customer
}

// customerAt is one customer at one service.
type customerAt struct {
	customer int
	service  string
}

// customerOf returns the index of the customer that the source belongs to, or -1.
func (l *limits) customerOf(source netip.Addr) int {
	return slices.IndexFunc(l.customers, func(c customer) bool {
		return slices.ContainsFunc(c.Sources, func(p netip.Prefix) bool { return p.Contains(source) })
	})
}

// between returns the lowest and the highest limit in force between from and to. An edit
// may take activeLimit from its start to be in force everywhere, so the limits before it
// also count until then.
func (l *limits) between(at customerAt, from, to time.Time) (low, high int) {
	from = from.Add(-activeLimit)
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

// change is the start or the end of a connection.
type change struct {
	at   time.Duration // since the Unix epoch
	step int           // 1 or -1
}

// changes returns the starts and ends of the connections of each customer in order of
// time, with the ends delayed by linger. At the same time, ends come before starts.
func (l *limits) changes(upstreams []upstreamObserved, linger time.Duration) map[customerAt][]change {
	out := make(map[customerAt][]change)
	for i := range upstreams {
		u := &upstreams[i]
		for _, c := range u.Connections {
			at := customerAt{l.customerOf(c.Source), u.Service}
			out[at] = append(out[at], change{c.Opened, 1})
			if c.Closed != 0 {
				out[at] = append(out[at], change{c.Closed + linger, -1})
			}
		}
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b change) int {
			if a.at != b.at {
				return int(a.at - b.at)
			}
			return a.step - b.step
		})
	}
	return out
}

// overPlan returns the largest number of connections above its plan that a customer had
// when it opened a connection. Connections that exceed a lowered plan do not count
// unless a further one is opened.
func (l *limits) overPlan(upstreams []upstreamObserved) (over int) {
	for at, list := range l.changes(upstreams, 0) {
		open := 0
		for _, c := range list {
			open += c.step
			if c.step < 0 {
				continue
			}
			high := 0
			if at.customer >= 0 {
				t := time.Unix(0, int64(c.at))
				_, high = l.between(at, t, t)
			}
			over = max(over, open-high)
		}
	}
	return over
}

// refusedUnderPlan returns the highest share, over all customers and services, of
// attempts that got no answer although the customer was below its plan during the whole
// attempt.
func (l *limits) refusedUnderPlan(clients *standin.CallersReport, upstreams []upstreamObserved) (share float64) {
	open := l.changes(upstreams, tokenLinger)
	total, refused := make(map[customerAt]int), make(map[customerAt]int)
	for _, a := range clients.Attempts {
		at := customerAt{l.customerOf(a.Source), a.Service}
		if at.customer < 0 {
			continue
		}
		total[at]++
		if a.Answered {
			continue
		}
		from, to := clients.Started.Add(a.Opened), clients.Started.Add(a.Ended)
		low, _ := l.between(at, from, to)
		if mostOpen(open[at], time.Duration(from.UnixNano()), time.Duration(to.UnixNano())) < low {
			refused[at]++
		}
	}
	for at, n := range refused {
		share = max(share, float64(n)/float64(total[at]))
	}
	return share
}

// mostOpen returns the maximum number of open connections between from and to.
func mostOpen(list []change, from, to time.Duration) (most int) {
	open := 0
	for _, c := range list {
		if c.at > to {
			break
		}
		if c.at > from {
			most = max(most, open)
		}
		open += c.step
	}
	return max(most, open)
}
