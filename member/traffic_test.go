package member_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
)

// changesPerSecond is the rate of state changes, 72,000 per day, at the target scale:
// 5,300 balancers in front of 48,000 upstreams in 5 regions and 14 failure domains.
const changesPerSecond = 72000.0 / 86400

// BenchmarkTraffic reports the control traffic of a balancer, sent and received, in
// fleets with 9 upstreams per balancer and changesPerSecond state changes per second, and
// the longest time until a change has reached every balancer.
func BenchmarkTraffic(b *testing.B) {
	for _, balancers := range []int{10, 50, 100, 200, 400} {
		b.Run(fmt.Sprintf("balancers=%d", balancers), func(b *testing.B) {
			for range b.N {
				measureTraffic(b, balancers)
			}
		})
	}
}

func measureTraffic(b *testing.B, balancers int) {
	f := newFleet(uint64(balancers))
	f.load(balancers, 9*balancers)
	f.net.Run(10 * time.Second)
	f.resetTraffic()
	const window = 60 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	var worst time.Duration
	done := func(took time.Duration) { worst = max(worst, took) }
	for at := 0.0; at < window.Seconds(); at += rng.ExpFloat64() / changesPerSecond {
		name := upstreamName(rng.IntN(9 * balancers))
		f.net.After(netip.AddrPort{}, time.Duration(at*float64(time.Second)), func() { f.changeState(name, done) })
	}
	f.net.Run(window)
	seconds := (f.net.Now() - f.since).Seconds()
	total := 0
	for kind, bytes := range f.traffic {
		b.ReportMetric(float64(bytes)/seconds/float64(balancers), kind+"-B/s")
		total += bytes
	}
	b.ReportMetric(float64(total)/seconds/float64(balancers), "all-B/s")
	b.ReportMetric(worst.Seconds(), "worst-s")
}

// changeState changes an upstream's state. It calls done with the time until all balancers
// have that version or a later one, or with 10 s if some do not have it by then.
func (f *fleet) changeState(name string, done func(time.Duration)) {
	state := flow.Draining
	if f.agents[name].Self().State == flow.Draining {
		state = flow.Ready
	}
	f.setState(name, state)
	begin, version := f.net.Now(), f.agents[name].Self().Version
	var check func()
	check = func() {
		took := f.net.Now() - begin
		if took >= 10*time.Second || f.reached(name, version) {
			done(took)
			return
		}
		f.net.After(netip.AddrPort{}, 100*time.Millisecond, check)
	}
	check()
}

func (f *fleet) reached(name string, version uint64) bool {
	for _, n := range f.balancers {
		if r, _ := n.Table().Get(name); r.Version < version {
			return false
		}
	}
	return true
}

// BenchmarkExchange reports the number of bytes in one anti-entropy exchange between two
// tables with 5,300 balancers and 48,000 upstreams that differ in the given number of
// records.
func BenchmarkExchange(b *testing.B) {
	f := newFleet(1)
	records := f.records(5300, 48000)
	for _, differing := range []int{0, 1, 2, 4, 16, 256} {
		b.Run(fmt.Sprintf("differing=%d", differing), func(b *testing.B) {
			for range b.N {
				b.ReportMetric(float64(exchangeBytes(f, records, differing)), "B/exchange")
			}
		})
	}
}

func exchangeBytes(f *fleet, records []member.Record, differing int) int {
	cfg := member.Config{ExchangeInterval: time.Hour, RetryInterval: time.Hour}
	one := member.NewNode(cfg, records[0], f.rng())
	two := member.NewNode(cfg, records[1], f.rng())
	one.Load(0, append(records[1:], two.Self()))
	two.Load(0, append(records[2:], one.Self()))
	for i := range differing {
		r := records[len(records)-1-i]
		r.Version++
		two.Load(0, []member.Record{r})
	}
	bytes := 0
	for step := range 10 {
		for _, c := range one.Step(time.Duration(step)) {
			if c.Request.Kind != member.KindDigest {
				continue
			}
			reply := two.Handle(time.Duration(step), c.Request)
			one.Reply(time.Duration(step), c, reply)
			bytes += c.Request.Size() + reply.Size()
		}
	}
	return bytes
}

// BenchmarkDomainLoss reports the effect of losing one of 14 failure domains with all
// its balancers and upstreams: the time until each of its processes is marked as failed
// on every balancer, and the traffic of a balancer during that time.
func BenchmarkDomainLoss(b *testing.B) {
	for _, balancers := range []int{28, 56, 112} {
		b.Run(fmt.Sprintf("balancers=%d", balancers), func(b *testing.B) {
			for range b.N {
				measureDomainLoss(b, balancers)
			}
		})
	}
}

func measureDomainLoss(b *testing.B, balancers int) {
	f := newFleet(uint64(balancers))
	f.load(balancers, 9*balancers)
	f.net.Run(10 * time.Second)
	var lost []string
	for name, p := range f.all() {
		if p.Self().FailureDomain == "lk-west-0" {
			lost = append(lost, name)
		}
	}
	for _, name := range lost {
		f.kill(name)
	}
	f.resetTraffic()
	marked := func(name string) bool {
		return !slices.ContainsFunc(f.states(name), func(s flow.State) bool { return s != flow.Failed })
	}
	for f.net.Now() < f.since+2*time.Minute && slices.ContainsFunc(lost, func(n string) bool { return !marked(n) }) {
		f.net.Run(time.Second)
	}
	took := f.net.Now() - f.since
	total := 0
	for _, bytes := range f.traffic {
		total += bytes
	}
	b.ReportMetric(took.Seconds(), "until-failed-s")
	b.ReportMetric(float64(len(lost)), "lost")
	b.ReportMetric(float64(total)/took.Seconds()/float64(len(f.balancers)), "all-B/s")
}

// BenchmarkDetection reports the time until a killed upstream is marked as failed on
// every balancer, over 50 runs.
func BenchmarkDetection(b *testing.B) {
	for range b.N {
		var worst, sum time.Duration
		for seed := range uint64(50) {
			f := newFleet(seed)
			f.load(28, 70)
			f.net.Run(10*time.Second + time.Duration(seed)*20*time.Millisecond)
			victim := upstreamName(int(seed))
			f.kill(victim)
			begin := f.net.Now()
			for slices.ContainsFunc(f.states(victim), func(s flow.State) bool { return s != flow.Failed }) {
				f.net.Run(100 * time.Millisecond)
			}
			sum += f.net.Now() - begin
			worst = max(worst, f.net.Now()-begin)
		}
		b.ReportMetric(sum.Seconds()/50, "mean-s")
		b.ReportMetric(worst.Seconds(), "worst-s")
	}
}

// BenchmarkJoin reports the time and the number of bytes until a balancer that starts
// with only its seeds has the whole table.
func BenchmarkJoin(b *testing.B) {
	for _, balancers := range []int{10, 100} {
		b.Run(fmt.Sprintf("balancers=%d", balancers), func(b *testing.B) {
			for range b.N {
				f := newFleet(1)
				f.load(balancers, 9*balancers)
				f.net.Run(10 * time.Second)
				begin := f.net.Now()
				n := f.balancer("joining", "lk-west-0")
				f.resetTraffic()
				for n.Table().Len() < 10*balancers+1 {
					f.net.Run(100 * time.Millisecond)
				}
				b.ReportMetric((f.net.Now() - begin).Seconds(), "s")
				b.ReportMetric(float64(f.traffic["exchange"])/2, "B")
			}
		})
	}
}
