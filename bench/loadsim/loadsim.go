// Package loadsim simulates a service under load in virtual time and compares policies that decide
// which upstream accepts a flow, which flows wait and which are refused. The decisions are those of
// package load; callers, their attempts and the upstreams are simulated. The simulation has no
// packets: what happens to the packets of lost flows is in package flow, and appears here only as the
// time until a caller learns that its flow was lost.
//
// The load patterns come from a settings.Workload: a steady load, a burst, cold upstreams, and a
// power failure after which all callers return at once.
package loadsim

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/load"
	"github.com/nutmegtrack/nutmegtrack/settings"
)

// Policy decides which upstream accepts a flow and when.
type Policy struct {
	Name string
	// Gate is the configuration of the gate of each upstream. With a nil Gate the chosen
	// upstream accepts every flow at once.
	Gate *load.Config
	// Choices is the number of random upstreams among which the least loaded is the first choice;
	// 0 stands for all.
	Choices int
	// Silent says that callers are not told that their flow has waited too long.
	Silent bool
	// Redirect sends the last copy of a waiting flow's SYN to another upstream.
	Redirect bool
	// Ideal replaces everything by one queue of requests in front of all slots. It knows the age
	// and the work of each request, and its callers need no flow and no second attempt. It is an
	// estimate of the ceiling.
	Ideal bool
}

// Policies lists the policies that are compared: the one in use, the one in use without one of
// its mechanisms, simpler ones, and the ceiling.
var Policies = []Policy{
	{Name: "current", Gate: &load.Config{}, Choices: 1},
	{Name: "no-depth", Gate: &load.Config{MaxDepth: 1}, Choices: 1},
	{Name: "no-passing-on", Gate: &load.Config{MaxPasses: -1}, Choices: 1},
	{Name: "refuse-early", Gate: &load.Config{Oversubscription: 1}, Choices: 1},
	{Name: "silent-expiry", Gate: &load.Config{}, Choices: 1, Silent: true},
	{Name: "redirect-copies", Gate: &load.Config{}, Choices: 1, Redirect: true},
	{Name: "hash-only", Choices: 1},
	{Name: "two-choices", Choices: 2},
	{Name: "least-loaded"},
	{Name: "ideal", Ideal: true},
}

// Result is the result of one policy in one run. Counts of attempts include all attempts of a
// request; the other counts are of requests.
type Result struct {
	Policy   string    `json:"policy"`
	Seed     uint64    `json:"seed"`
	Requests int       `json:"requests"`
	InTime   int       `json:"in_time"`
	Late     int       `json:"late"`
	Failed   int       `json:"failed"`
	Worth    float64   `json:"worth"`         // credit earned as a share of the credit owed
	Worst    float64   `json:"worst_windows"` // the same, as the mean of the two worst windows
	Reset    int       `json:"reset_attempts"`
	Silent   int       `json:"silent_attempts"`   // attempts that the caller gave up without an answer
	Rejected int       `json:"rejected_attempts"` // attempts that an upstream with a full queue rejected
	Windows  []float64 `json:"windows"`           // worth by windows of windowLength
}

const (
	// windowLength is the length of a window of Result.Windows.
	windowLength = 2 * time.Second
	// gateStep is the interval between two looks of an agent for flows that have waited too long.
	gateStep = 100 * time.Millisecond
)

// Run runs one policy on a workload in virtual time.
func Run(w *settings.Workload, p Policy, seed uint64) Result {
	s := newWorld(w, p, seed)
	s.run()
	return s.result(seed)
}

// RunSeeds runs one policy n times, with consecutive seeds.
func RunSeeds(w *settings.Workload, p Policy, first uint64, n int) []Result {
	out := make([]Result, n)
	for i := range out {
		out[i] = Run(w, p, first+uint64(i))
	}
	return out
}

// Summarize returns the mean of the runs of one policy, without Seed and Windows, and the difference
// between the highest and the lowest worth.
func Summarize(runs []Result) (mean Result, spread float64) {
	n := len(runs)
	mean.Policy = runs[0].Policy
	low, high := runs[0].Worth, runs[0].Worth
	for _, r := range runs {
		mean.Requests += r.Requests
		mean.InTime += r.InTime
		mean.Late += r.Late
		mean.Failed += r.Failed
		mean.Reset += r.Reset
		mean.Silent += r.Silent
		mean.Rejected += r.Rejected
		mean.Worth += r.Worth / float64(n)
		mean.Worst += r.Worst / float64(n)
		low, high = min(low, r.Worth), max(high, r.Worth)
	}
	for _, count := range []*int{&mean.Requests, &mean.InTime, &mean.Late, &mean.Failed, &mean.Reset, &mean.Silent, &mean.Rejected} {
		*count /= n
	}
	return mean, high - low
}

// FindPolicy returns the policy with the given name.
func FindPolicy(name string) (Policy, error) {
	i := slices.IndexFunc(Policies, func(p Policy) bool { return p.Name == name })
	if i < 0 {
		names := make([]string, len(Policies))
		for i, p := range Policies {
			names[i] = p.Name
		}
		return Policy{}, errors.Newf("unknown policy %q; it must be one of %s", name, strings.Join(names, ", "))
	}
	return Policies[i], nil
}

// credit is an account of the credit of the requests that began in a window.
type credit struct{ owed, earned float64 }

func (c credit) share() float64 {
	if c.owed == 0 {
		return 1
	}
	return c.earned / c.owed
}

func (s *world) result(seed uint64) Result {
	r := s.totals
	r.Policy, r.Seed = s.policy.Name, seed
	var total credit
	for _, c := range s.windows {
		total.owed += c.owed
		total.earned += c.earned
		r.Windows = append(r.Windows, math.Round(1000*c.share())/1000)
	}
	r.Worth = total.share()
	worst := slices.Sorted(slices.Values(r.Windows))
	worst = worst[:min(2, len(worst))]
	for _, v := range worst {
		r.Worst += v / float64(len(worst))
	}
	return r
}
