package demo

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// scheduleTimes returns the names and times of the actions of a schedule.
func scheduleTimes(list []scheduledAction) (out []string) {
	for _, p := range list {
		out = append(out, p.name+" "+p.at.String())
	}
	return out
}

var _ = Describe("the schedule", func() {
	// Guards against runs that cannot be reproduced with the same seed.
	It("depends on seed and deployment only", func() {
		of := func(seed uint64, deployment int) []string {
			cfg := Config{Seed: seed}
			return scheduleTimes(newSchedule(fleetActions, time.Minute, cfg.rng(deployment)))
		}
		Expect(of(1, 0)).To(Equal(of(1, 0)))
		Expect(of(1, 0)).NotTo(Equal(of(2, 0)))
		Expect(of(1, 0)).NotTo(Equal(of(1, 1)))
	})

	// Guards against actions that are missing or scheduled after the load.
	It("contains every action in each round, within the load", func() {
		cfg := Config{Seed: 7}
		list := newSchedule(fleetActions, time.Minute, cfg.rng(0))
		Expect(list).To(HaveLen(2 * len(fleetActions)))
		for i, p := range list {
			Expect(p.at).To(BeNumerically(">=", 12*time.Second))
			Expect(p.at).To(BeNumerically("<", 54*time.Second))
			if i > 0 {
				Expect(p.at).To(BeNumerically(">", list[i-1].at))
			}
		}
	})
})
