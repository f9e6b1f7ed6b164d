package bench

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/quota"
)

// observer counts the connections of all agents together. No process of the system knows
// this number.
type observer struct {
	run *limitsRun

	openCount      map[uint64]int32   // open connections by customer
	byAgent        []map[uint64]int32 // open connections by agent and customer, to close them when a VM is lost
	openings       map[uint64][]time.Duration
	previousLimits []previousLimit
	waiting        []*attempt

	attempts, refusedUnder int
	overMax                int
	refusalMax             time.Duration

	victimAttempts, victimAdmitted int
}

// previousLimit is a customer's limit that an edit has replaced. Agents may apply it until
// the edit is active everywhere.
type previousLimit struct {
	until    time.Duration
	customer uint64
	limit    int32
}

func newObserver(r *limitsRun) observer {
	ob := observer{run: r, openCount: map[uint64]int32{}, openings: map[uint64][]time.Duration{}}
	ob.byAgent = make([]map[uint64]int32, r.o.Upstreams)
	for i := range ob.byAgent {
		ob.byAgent[i] = map[uint64]int32{}
	}
	return ob
}

// limit returns the highest limit that an agent may apply to the customer now.
func (ob *observer) limit(customer uint64) int32 {
	limit := ob.run.limits[2*(customer-1)].Tokens
	for _, e := range ob.previousLimits {
		if e.customer == customer && ob.run.net.Now() < e.until {
			limit = max(limit, e.limit)
		}
	}
	return limit
}

// open records an admitted connection and compares the customer's open connections, and
// those opened within the last second, with the plan.
func (ob *observer) open(a *attempt) {
	now := ob.run.net.Now()
	ob.openCount[a.customer]++
	ob.byAgent[a.agent][a.customer]++
	limit := ob.limit(a.customer)
	ob.recordExcess(ob.openCount[a.customer] - limit)
	recent := append(ob.openings[a.customer], now)
	for len(recent) > 0 && recent[0] <= now-time.Second {
		recent = recent[1:]
	}
	ob.openings[a.customer] = recent
	ob.recordExcess(int32(len(recent)) - limit)
	ob.finish(a, true)
}

// sample updates the state of every waiting client. It is called once a step.
func (ob *observer) sample() {
	free := map[uint64]bool{}
	under := map[uint64]bool{}
	remaining := ob.waiting[:0]
	for _, a := range ob.waiting {
		if a.decided {
			continue
		}
		if ob.run.net.Now() < ob.run.paused[a.agent] {
			a.freeTime = 0
		}
		remaining = append(remaining, a)
		if _, ok := free[a.customer]; !ok {
			free[a.customer] = ob.run.admission.free(a.customer)
			under[a.customer] = ob.underPlan(a.customer)
		}
		a.overPlan = a.overPlan || !under[a.customer]
		if !free[a.customer] {
			a.freeTime = 0
			continue
		}
		a.freeTime += limitsStep
		if a.firstTry >= limitsWarmUp {
			ob.refusalMax = max(ob.refusalMax, a.freeTime)
		}
	}
	clear(ob.waiting[len(remaining):])
	ob.waiting = remaining
}

func (ob *observer) recordExcess(n int32) { ob.overMax = max(ob.overMax, int(n)) }

func (ob *observer) close(customer uint64, agent int) {
	ob.openCount[customer]--
	ob.byAgent[agent][customer]--
}

// giveUp records a refused attempt.
func (ob *observer) giveUp(a *attempt) {
	ob.finish(a, false)
	if !a.overPlan && a.firstTry >= limitsWarmUp {
		ob.refusedUnder++
	}
}

func (ob *observer) finish(a *attempt, admitted bool) {
	a.decided = true
	if a.firstTry < limitsWarmUp {
		return
	}
	ob.attempts++
	if a.customer == 1 {
		return
	}
	ob.victimAttempts++
	if admitted {
		ob.victimAdmitted++
	}
}

func (ob *observer) underPlan(customer uint64) bool {
	limit := ob.run.limits[2*(customer-1)].Tokens
	now := ob.run.net.Now()
	recent := int32(0)
	for _, at := range ob.openings[customer] {
		if at > now-time.Second {
			recent++
		}
	}
	return ob.openCount[customer] < limit && recent < limit
}

// agentLost closes the connections of an agent whose VM is lost. Its waiting clients are not
// counted as refused.
func (ob *observer) agentLost(agent int) {
	for _, a := range ob.waiting {
		a.decided = a.decided || a.agent == agent
	}
	for customer, n := range ob.byAgent[agent] {
		ob.openCount[customer] -= n
	}
	ob.byAgent[agent] = map[uint64]int32{}
}

// limitEdited records a customer's limit before an edit.
func (ob *observer) limitEdited(customer uint64, previous int32) {
	ob.previousLimits = append(ob.previousLimits, previousLimit{ob.run.net.Now() + editPropagation, customer, previous})
}

// setLimit edits the limits of one customer.
func (r *limitsRun) setLimit(customer uint64, tokens int32) {
	r.observer.limitEdited(customer, r.limits[2*(customer-1)].Tokens)
	limits := append([]quota.Amount(nil), r.limits...)
	limits[2*(customer-1)].Tokens = tokens
	limits[2*(customer-1)+1].Tokens = tokens
	r.limits = limits
	r.admission.setLimits(limits)
}
