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

// LimitsOptions describes a run of the limits benchmark.
type LimitsOptions struct {
	Seed      uint64
	Upstreams int           // agents of the service
	Customers int           // customers, each with its own limits
	Duration  time.Duration // virtual time of a run
	Load      float64       // mean use of each plan; 1 is all of it
	// MeanOpen is the mean time for which a connection stays open. 65 million open
	// flows with 260,000 new ones a second stay open for 250 s.
	MeanOpen time.Duration
	Faults   bool // loss, duplication, cuts, pauses, deaths, edits
}

// Validate reports options outside their range.
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

// LimitsResult is the outcome of one variant.
type LimitsResult struct {
	Variant               string  `json:"variant"`
	Attempts              int     `json:"attempts"`
	OverPlanMax           int     `json:"over_plan_max"`
	RefusedUnderPlanShare float64 `json:"refused_under_plan_share"`
	RefusalSecondsMax     float64 `json:"refusal_seconds_max"`
	VictimShareChange     float64 `json:"victim_share_change"`
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
}

// LimitsVariant names a way to enforce limits.
type LimitsVariant string

// The variants that RunLimits compares.
const (
	FixedSplit      LimitsVariant = "fixed-split"
	AskGrantor      LimitsVariant = "ask-grantor"
	TokensFixedWait LimitsVariant = "tokens-fixed-retransmission"
	Tokens          LimitsVariant = "tokens"
)

// LimitsVariants lists all variants, the baselines first.
var LimitsVariants = []LimitsVariant{FixedSplit, AskGrantor, TokensFixedWait, Tokens}

const (
	limitsStep = 50 * time.Millisecond
	// retryInterval describes a TCP client whose first packet got no answer: it
	// repeats it after 1 s and 3 s (RFC 6298); then it counts as refused.
	retryInterval = time.Second
	maxWait       = 3 * time.Second
	// editSpread is the time in which an edit must be in force everywhere.
	editSpread = 13 * time.Second
	// limitsWarmUp is left out of the measured shares: no token has been issued at first.
	limitsWarmUp = 30 * time.Second
)

// RunLimits measures one variant. The victims' share is compared with a second run
// in which no customer exceeds its plan.
func RunLimits(o LimitsOptions, v LimitsVariant) LimitsResult {
	calm := newLimitsRun(o, v, 1).run()
	flood := newLimitsRun(o, v, 10).run()
	result := flood.result(v)
	if calm.victimShare() > 0 {
		result.VictimShareChange = math.Abs(flood.victimShare()-calm.victimShare()) / calm.victimShare()
	}
	return result
}

// admission is what a variant decides for the agent with the given index.
type admission interface {
	admit(agent int, customer uint64, done func(bool))
	release(agent int, customer uint64)
	setLimits(limits []quota.Amount)
	step()
	// free reports whether a token of the customer is free on an agent that runs.
	free(customer uint64) bool
	lost(agent int) // the VM and its connections are gone; a new one starts
}

// limitsRun holds one run: the network, the load and what an observer sees.
type limitsRun struct {
	o        LimitsOptions
	net      *fake.Network
	rng      *rand.Rand
	policy   admission
	excess   float64 // load of customer 1 relative to the others
	limits   []quota.Amount
	observer observer
	bytes    int
	paused   []time.Duration // until when each agent is paused
	lives    []int           // counts the restarts of each agent
}

func newLimitsRun(o LimitsOptions, v LimitsVariant, excess float64) *limitsRun {
	r := &limitsRun{
		o:      o,
		net:    fake.NewNetwork(o.Seed),
		rng:    rand.New(rand.NewPCG(o.Seed, 1)),
		excess: excess,
		paused: make([]time.Duration, o.Upstreams),
		lives:  make([]int, o.Upstreams),
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
	r.policy = newAdmission(r, v)
	return r
}

func (r *limitsRun) run() *limitsRun {
	r.policy.setLimits(r.limits)
	r.net.Every(netip.AddrPort{}, limitsStep, r.step)
	for c := range r.o.Customers {
		r.fill(uint64(c + 1))
		r.scheduleArrival(uint64(c + 1))
	}
	if r.o.Faults {
		r.scheduleFaults()
	}
	r.net.Run(r.o.Duration)
	return r
}

// fill opens the connections that are open on average, within the warm-up.
func (r *limitsRun) fill(customer uint64) {
	n := int(r.o.Load * float64(r.limits[2*(customer-1)].Tokens))
	for range n {
		r.net.After(netip.AddrPort{}, time.Second+time.Duration(r.rng.Int64N(int64(limitsWarmUp/2))), func() { r.arrive(customer) })
	}
}

func (r *limitsRun) arrive(customer uint64) {
	r.attempt(&attempt{customer: customer, agent: r.rng.IntN(r.o.Upstreams), first: r.net.Now()})
}

// scheduleArrival opens the customer's connections as a Poisson process whose rate
// uses the wanted share of the plan.
func (r *limitsRun) scheduleArrival(customer uint64) {
	limit := float64(r.limits[2*(customer-1)].Tokens)
	rate := r.o.Load * limit / r.o.MeanOpen.Seconds()
	if customer == 1 {
		rate *= r.excess
	}
	wait := time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
	r.net.After(netip.AddrPort{}, wait, func() {
		r.arrive(customer)
		r.scheduleArrival(customer)
	})
}

// attempt is one client that tries to open a connection.
type attempt struct {
	customer uint64
	agent    int
	first    time.Duration
	tries    int
	decided  bool
	// freeFor is for how long a token has been free without interruption while
	// the client waited.
	freeFor time.Duration
	// overPlan is set when the customer was at its limit at some time while the
	// client waited.
	overPlan bool
}

func (r *limitsRun) attempt(a *attempt) {
	if r.net.Now() < r.paused[a.agent] {
		// A paused agent answers nothing; the client does not count as refused.
		a.decided = true
		return
	}
	a.tries++
	if a.tries == 1 {
		r.observer.waiting = append(r.observer.waiting, a)
	}
	r.policy.admit(a.agent, a.customer, func(ok bool) {
		if ok {
			r.opened(a)
			return
		}
		r.refused(a)
	})
}

func (r *limitsRun) opened(a *attempt) {
	r.observer.open(a)
	life := r.lives[a.agent]
	open := time.Duration(r.rng.ExpFloat64() * float64(r.o.MeanOpen))
	r.net.After(netip.AddrPort{}, open, func() { r.close(a, life) })
}

func (r *limitsRun) close(a *attempt, life int) {
	if r.lives[a.agent] != life {
		return
	}
	if wait := r.paused[a.agent] - r.net.Now(); wait > 0 {
		r.net.After(netip.AddrPort{}, wait, func() { r.close(a, life) })
		return
	}
	r.observer.close(a.customer, a.agent)
	r.policy.release(a.agent, a.customer)
}

func (r *limitsRun) refused(a *attempt) {
	wait := retryInterval << (a.tries - 1)
	if r.net.Now()+wait > a.first+maxWait {
		r.observer.giveUp(a)
		return
	}
	r.net.After(netip.AddrPort{}, wait, func() { r.attempt(a) })
}

// step advances the policy and what the observer samples.
func (r *limitsRun) step() {
	r.policy.step()
	r.observer.sample()
}

// sent adds a control message to the count of bytes.
func (r *limitsRun) sent(bytes int) { r.bytes += bytes }

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

// victimShare is the share of the attempts of all customers but the first that
// were admitted.
func (r *limitsRun) victimShare() float64 {
	if r.observer.victimAttempts == 0 {
		return 0
	}
	return float64(r.observer.victimAdmitted) / float64(r.observer.victimAttempts)
}
