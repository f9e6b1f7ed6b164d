package bench

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/fake"
	"github.com/nutmegtrack/nutmegtrack/quota"
)

// LimitsOptions configures a run of the limits benchmark.
type LimitsOptions struct {
	Seed      uint64
	Upstreams int           // agents of the service
	Customers int           // customers, each with its own limits
	Duration  time.Duration // virtual time of a run
	Load      float64       // mean use of each plan as a share of its limits
	// MeanOpen is the mean lifetime of a connection. It is 250 s in a fleet with 65 million
	// open flows and 260,000 new ones a second.
	MeanOpen time.Duration
	Faults   bool // message loss and duplication, partitions, pauses, VM losses, edits of plans
}

// Validate returns an error for the first option that is out of range.
func (o LimitsOptions) Validate() error {
	switch {
	case o.Upstreams < 1 || o.Upstreams > 1000:
		return errors.Newf("upstreams is %d; it must be from 1 to 1000", o.Upstreams)
	case o.Customers < 1 || o.Customers > 100_000:
		return errors.Newf("customers is %d; it must be from 1 to 100000", o.Customers)
	case o.Duration <= limitsWarmUp:
		return errors.Newf("duration is %v; it must be longer than the warm-up of %v", o.Duration, limitsWarmUp)
	case o.MeanOpen <= 0:
		return errors.Newf("mean-open is %v; it must be positive", o.MeanOpen)
	case o.Load <= 0 || o.Load > 1:
		return errors.Newf("load is %v; it must be above 0 and at most 1", o.Load)
	}
	return nil
}

// LimitsResult is the result of one variant.
type LimitsResult struct {
	Variant  string `json:"variant"`
	Attempts int    `json:"attempts"` // attempts after the warm-up that were admitted or refused
	// OverPlanMax is the largest number by which a customer's open connections, or those
	// that it opened within one second, exceeded its limit.
	OverPlanMax int `json:"over_plan_max"`
	// RefusedUnderPlanShare is the share of attempts that were refused although the
	// customer was below its limits whenever the waiting client was sampled.
	RefusedUnderPlanShare float64 `json:"refused_under_plan_share"`
	// RefusalSecondsMax is the longest time for which a client waited while a token of its
	// customer was free without interruption.
	RefusalSecondsMax float64 `json:"refusal_seconds_max"`
	// VictimShareChange is the relative change, caused by the overload of customer 1, of
	// the share of admitted attempts of the other customers.
	VictimShareChange     float64 `json:"victim_share_change"`
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"` // sent and received; mean of all daemons
}

// LimitsVariant is the name of a way to enforce limits.
type LimitsVariant string

// The variants that RunLimits compares.
const (
	FixedSplit LimitsVariant = "fixed-split" // each agent has an equal part of every limit
	AskGrantor LimitsVariant = "ask-grantor" // a central process decides on each new connection
	// TokensFixedRetransmission is Tokens with quota.Config.FixedRetransmission: without
	// doubling and randomisation of the retransmission times.
	TokensFixedRetransmission LimitsVariant = "tokens-fixed-retransmission"
	Tokens                    LimitsVariant = "tokens" // the mechanism of package quota
)

// LimitsVariants lists all variants, the baselines first.
var LimitsVariants = []LimitsVariant{FixedSplit, AskGrantor, TokensFixedRetransmission, Tokens}

const (
	limitsStep = 50 * time.Millisecond
	// A TCP client whose SYN is not answered retransmits it 1 s and 3 s after the first
	// one (RFC 6298). An attempt that is still refused when no retransmission is left counts
	// as refused. Attempts on a paused agent are not counted.
	retryInterval = time.Second
	maxRetryTime  = 3 * time.Second
	// editPropagation is the time within which an edit must be active on all agents.
	editPropagation = 13 * time.Second
	// limitsWarmUp is excluded from the measured shares, since no token has been issued at
	// the start.
	limitsWarmUp = 30 * time.Second
)

// RunLimits measures one variant while customer 1 has ten times the configured load. The
// share of admitted attempts of the other customers, the victims, is compared with that of
// a second run in which no customer exceeds its plan.
func RunLimits(o LimitsOptions, v LimitsVariant) LimitsResult {
	regular := newLimitsRun(o, v, 1).run()
	overload := newLimitsRun(o, v, 10).run()
	result := overload.result(v)
	if regular.victimShare() > 0 {
		result.VictimShareChange = math.Abs(overload.victimShare()-regular.victimShare()) / regular.victimShare()
	}
	return result
}

// admission is a variant's decision logic. Agents are identified by their index.
type admission interface {
	admit(agent int, customer uint64, done func(bool))
	release(agent int, customer uint64)
	setLimits(limits []quota.Amount)
	step()
	// free reports whether an agent that is not paused has a free token of the customer.
	free(customer uint64) bool
	agentLost(agent int) // the VM and its connections are lost; a new VM takes its place
}

// limitsRun is one run: the network, the load and the observer's measurements.
type limitsRun struct {
	o          LimitsOptions
	net        *fake.Network
	rng        *rand.Rand
	admission  admission
	loadFactor float64 // load of customer 1 relative to that of the others
	// limits holds, for customer c, the limit of open connections at 2*(c-1) and that of new
	// connections per second at 2*(c-1)+1. Both have the same number of tokens.
	limits   []quota.Amount
	observer observer
	bytes    int
	paused   []time.Duration // time until which each agent is paused
	restarts []int           // number of restarts of each agent
}

func newLimitsRun(o LimitsOptions, v LimitsVariant, loadFactor float64) *limitsRun {
	r := &limitsRun{
		o:          o,
		net:        fake.NewNetwork(o.Seed),
		rng:        rand.New(rand.NewPCG(o.Seed, 1)),
		loadFactor: loadFactor,
		paused:     make([]time.Duration, o.Upstreams),
		restarts:   make([]int, o.Upstreams),
	}
	r.net.Faults = fake.Faults{MinDelay: time.Millisecond, MaxDelay: 3 * time.Millisecond}
	if o.Faults {
		r.net.Faults = fake.Faults{MinDelay: time.Millisecond, MaxDelay: 40 * time.Millisecond, Loss: 0.03, Duplication: 0.03}
	}
	for c := range o.Customers {
		connections := int32(5 + r.rng.IntN(60))
		r.limits = append(r.limits,
			quota.Amount{Account: quota.Account{Customer: uint64(c + 1), Kind: quota.Connections}, Tokens: connections},
			quota.Amount{Account: quota.Account{Customer: uint64(c + 1), Kind: quota.Rate}, Tokens: connections})
	}
	r.observer = newObserver(r)
	r.admission = newAdmission(r, v)
	return r
}

func (r *limitsRun) run() *limitsRun {
	r.admission.setLimits(r.limits)
	r.net.Every(netip.AddrPort{}, limitsStep, r.step)
	for c := range r.o.Customers {
		r.openInitial(uint64(c + 1))
		r.scheduleArrival(uint64(c + 1))
	}
	if r.o.Faults {
		r.scheduleFaults()
	}
	r.net.Run(r.o.Duration)
	return r
}

// openInitial opens, during the warm-up, the mean number of open connections of a customer.
func (r *limitsRun) openInitial(customer uint64) {
	n := int(r.o.Load * float64(r.limits[2*(customer-1)].Tokens))
	for range n {
		r.net.After(netip.AddrPort{}, time.Second+time.Duration(r.rng.Int64N(int64(limitsWarmUp/2))), func() { r.arrive(customer) })
	}
}

func (r *limitsRun) arrive(customer uint64) {
	r.attempt(&attempt{customer: customer, agent: r.rng.IntN(r.o.Upstreams), firstTry: r.net.Now()})
}

// scheduleArrival opens a customer's connections as a Poisson process with the rate that
// keeps the configured share of the plan in use.
func (r *limitsRun) scheduleArrival(customer uint64) {
	limit := float64(r.limits[2*(customer-1)].Tokens)
	rate := r.o.Load * limit / r.o.MeanOpen.Seconds()
	if customer == 1 {
		rate *= r.loadFactor
	}
	wait := time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
	r.net.After(netip.AddrPort{}, wait, func() {
		r.arrive(customer)
		r.scheduleArrival(customer)
	})
}

// attempt is a client's attempt to open a connection, with its retransmissions.
type attempt struct {
	customer uint64
	agent    int
	firstTry time.Duration
	tries    int
	decided  bool
	// freeTime is the time for which a token has been free without interruption while the
	// client has been waiting.
	freeTime time.Duration
	// overPlan is set if the customer was at its limit at any time while the client was
	// waiting.
	overPlan bool
}

func (r *limitsRun) attempt(a *attempt) {
	if r.net.Now() < r.paused[a.agent] {
		// A paused agent does not answer. The client is not counted as refused.
		a.decided = true
		return
	}
	a.tries++
	if a.tries == 1 {
		r.observer.waiting = append(r.observer.waiting, a)
	}
	r.admission.admit(a.agent, a.customer, func(ok bool) {
		if ok {
			r.opened(a)
			return
		}
		r.refused(a)
	})
}

func (r *limitsRun) opened(a *attempt) {
	r.observer.open(a)
	restart := r.restarts[a.agent]
	open := time.Duration(r.rng.ExpFloat64() * float64(r.o.MeanOpen))
	r.net.After(netip.AddrPort{}, open, func() { r.close(a, restart) })
}

func (r *limitsRun) close(a *attempt, restart int) {
	if r.restarts[a.agent] != restart {
		return
	}
	if wait := r.paused[a.agent] - r.net.Now(); wait > 0 {
		r.net.After(netip.AddrPort{}, wait, func() { r.close(a, restart) })
		return
	}
	r.observer.close(a.customer, a.agent)
	r.admission.release(a.agent, a.customer)
}

func (r *limitsRun) refused(a *attempt) {
	wait := retryInterval << (a.tries - 1)
	if r.net.Now()+wait > a.firstTry+maxRetryTime {
		r.observer.giveUp(a)
		return
	}
	r.net.After(netip.AddrPort{}, wait, func() { r.attempt(a) })
}

// step advances the variant and takes a sample of the observer.
func (r *limitsRun) step() {
	r.admission.step()
	r.observer.sample()
}

// countBytes counts the bytes of a control message.
func (r *limitsRun) countBytes(bytes int) { r.bytes += bytes }

func (r *limitsRun) result(v LimitsVariant) LimitsResult {
	ob := &r.observer
	daemons := float64(r.o.Upstreams + 1)
	result := LimitsResult{
		Variant:           string(v),
		Attempts:          ob.attempts,
		OverPlanMax:       ob.overMax,
		RefusalSecondsMax: ob.refusalMax.Seconds(),
		// Each byte is sent by one daemon and received by another.
		ControlBytesPerSecond: 2 * float64(r.bytes) / daemons / r.o.Duration.Seconds(),
	}
	if ob.attempts > 0 {
		result.RefusedUnderPlanShare = float64(ob.refusedUnder) / float64(ob.attempts)
	}
	return result
}

// victimShare returns the share of admitted attempts of all customers except the first.
func (r *limitsRun) victimShare() float64 {
	if r.observer.victimAttempts == 0 {
		return 0
	}
	return float64(r.observer.victimAdmitted) / float64(r.observer.victimAttempts)
}
