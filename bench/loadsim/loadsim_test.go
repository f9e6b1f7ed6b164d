package loadsim_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/bench/loadsim"
	"github.com/nutmegtrack/nutmegtrack/internal/spec"
	"github.com/nutmegtrack/nutmegtrack/settings"
)

func TestLoadsim(t *testing.T) { spec.Run(t, "loadsim") }

func workload(name string) *settings.Workload {
	w, err := settings.LoadWorkload("../../examples/load/" + name + ".json")
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return &w
}

func policy(name string) loadsim.Policy {
	p, err := loadsim.FindPolicy(name)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return p
}

var _ = Describe("The load simulation", func() {
	// Guards against requests that are lost or counted twice, so that a policy looks better than it is.
	DescribeTable("accounts for every request once, in the same way in every run with the same seed", func(name string) {
		w := workload("power-failure")
		r := loadsim.Run(w, policy(name), 7)
		Expect(r.InTime + r.Late + r.Failed).To(Equal(r.Requests))
		Expect(loadsim.Run(w, policy(name), 7)).To(Equal(r))
		Expect(loadsim.Run(w, policy("hash-only"), 7).Requests).To(Equal(r.Requests))
	},
		Entry(nil, "current"), Entry(nil, "redirect-copies"), Entry(nil, "least-loaded"), Entry(nil, "ideal"),
	)

	// Guards against an estimate of the ceiling that a real policy exceeds.
	DescribeTable("estimates a ceiling above every policy", func(name string) {
		w := workload(name)
		ceiling := loadsim.Run(w, policy("ideal"), 1).Worth
		for _, p := range loadsim.Policies {
			Expect(loadsim.Run(w, p, 1).Worth).To(BeNumerically("<=", ceiling), p.Name)
		}
	},
		Entry(nil, "power-failure"), Entry(nil, "saturation"),
	)

	// Guards against a run that goes on for ever without upstreams.
	It("ends when the upstreams do not come back within the callers' deadlines", func() {
		w := workload("power-failure")
		w.Outage.DownSeconds = 14
		r := loadsim.Run(w, policy("current"), 1)
		Expect(r.Failed).To(BeNumerically(">", 1000))
		Expect(r.InTime + r.Late + r.Failed).To(Equal(r.Requests))
	})

	It("names an unknown policy", func() {
		_, err := loadsim.FindPolicy("none")
		Expect(err).To(MatchError(ContainSubstring(`"none"`)))
	})
})

var _ = Describe("The policy in use", func() {
	// Load pattern: many upstreams of few slots are cold after a power failure, and all callers
	// return at once. Guards against callers that are refused so early that all of their attempts
	// fall into the first second of the overload.
	It("fails fewer requests than one that refuses what one upstream cannot complete in time", func() {
		w := workload("small-upstreams")
		w.Upstreams, w.Seconds, w.Outage.AtSeconds = 12, 12, 4
		for i := range w.Classes {
			w.Classes[i].PerSecond /= 4
		}
		current, early := loadsim.Run(w, policy("current"), 1), loadsim.Run(w, policy("refuse-early"), 1)
		Expect(current.Failed).To(BeNumerically("<", early.Failed))
		Expect(current.Reset).To(BeNumerically("<", early.Reset))
	})

	// Load pattern: more load than can be served for ten seconds. Guards against attempts that end
	// without an answer: at most a fifth of those of a policy that does not tell its callers.
	It("tells callers that their flow has waited too long", func() {
		w := workload("saturation")
		current, silent := loadsim.Run(w, policy("current"), 1), loadsim.Run(w, policy("silent-expiry"), 1)
		Expect(silent.Silent).To(BeNumerically(">", 1000))
		Expect(5 * current.Silent).To(BeNumerically("<=", silent.Silent))
	})

	// Load pattern: the same overload, most of it on flows that stay open. Guards against requests of
	// the highest priority that wait behind those on open flows.
	It("earns more by accepting flows of a higher priority beside requests on open flows", func() {
		w := workload("saturation")
		current, without := loadsim.Run(w, policy("current"), 1), loadsim.Run(w, policy("no-depth"), 1)
		Expect(current.Worth).To(BeNumerically(">", without.Worth))
		Expect(current.Late).To(BeNumerically("<", without.Late))
	})

	// Load pattern: the same power failure at upstreams of more slots. Guards against a policy that
	// is worse than having none.
	It("earns more than placement by hash, two choices or least load alone after a power failure", func() {
		w := workload("power-failure")
		current := loadsim.Run(w, policy("current"), 1)
		for _, name := range []string{"hash-only", "two-choices", "least-loaded"} {
			simpler := loadsim.Run(w, policy(name), 1)
			Expect(current.Worth).To(BeNumerically(">", simpler.Worth), name)
			Expect(current.Failed).To(BeNumerically("<", simpler.Failed), name)
		}
	})
})
