package demo

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/standin"
)

// tokenLinger is how long an agent keeps a flow after its end, with a margin for its
// steps. Until then the flow counts for its customer.
const tokenLinger = 2500 * time.Millisecond

// listsAt are the lists that an edit made, from the time at which it was begun.
type listsAt struct {
	at    time.Time
	table *plan.Table
}

// recordLists notes the lists after an accepted edit.
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

// customerOf returns the position of the customer with the source, or -1.
func (l *limits) customerOf(source netip.Addr) int {
	return slices.IndexFunc(l.customers, func(c customer) bool {
		return slices.ContainsFunc(c.Sources, func(p netip.Prefix) bool { return p.Contains(source) })
	})
}

// between returns the lowest and the highest limit in force in a span of time.
// Edits are in progress for activeLimit after they were begun, so the limits before
// them count until then.
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

// change is the begin or end of a connection.
type change struct {
	at   time.Duration // since the Unix epoch
	step int           // 1 or -1
}

// changes returns the connections of each customer in order of time, their ends
// moved by linger. Of two changes at the same time the end comes first.
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

// overPlan returns the most connections of a customer above its plan at the time at
// which one was opened. Connections that were open before a plan was lowered do not
// count by themselves.
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

// refusedUnderPlan returns the highest share of a customer's attempts that were never
// answered although the customer was below its plan all the time.
func (l *limits) refusedUnderPlan(clients *standin.LoadReport, upstreams []upstreamObserved) (share float64) {
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

// mostOpen returns the most connections open at once in a span of time.
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
