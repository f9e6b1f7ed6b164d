package bench

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// pointsOn returns points on a line, with noise of up to the given share of each value.
func pointsOn(slope, intercept, noise float64) []Point {
	rng := rand.New(rand.NewPCG(7, 7))
	var out []Point
	for units := 1.0; units <= 1000; units *= 2 {
		value := (slope*units + intercept) * (1 + noise*(2*rng.Float64()-1))
		out = append(out, Point{Units: units, Value: value})
	}
	return out
}

var _ = Describe("FitLine", func() {
	// Guards against a fit that swaps slope and intercept or counts points twice.
	It("returns a known line", func() {
		l := FitLine(pointsOn(3, 40, 0))
		Expect(l.Slope).To(BeNumerically("~", 3, 1e-9))
		Expect(l.Intercept).To(BeNumerically("~", 40, 1e-9))
		Expect(l.FitError).To(BeNumerically("~", 0, 1e-9))
	})

	// Guards against a fit error that does not show the scatter of the points.
	It("reports noise as error", func() {
		small, large := FitLine(pointsOn(3, 40, 0.05)), FitLine(pointsOn(3, 40, 0.5))
		Expect(small.FitError).To(BeNumerically(">", 0.001))
		Expect(small.FitError).To(BeNumerically("<", 0.1))
		Expect(large.FitError).To(BeNumerically(">", 5*small.FitError))
	})

	// Guards against a non-linear cost that is reported with a small fit error.
	It("reports a curve as error", func() {
		var points []Point
		for units := 1.0; units <= 1000; units *= 10 {
			points = append(points, Point{Units: units, Value: units * units})
		}
		Expect(FitLine(points).FitError).To(BeNumerically(">", 0.05))
	})

	// Guards against a division by zero for a cost that is always zero.
	It("reports no error for a cost that is always zero", func() {
		Expect(FitLine([]Point{{1, 0}, {10, 0}, {100, 0}, {1000, 0}})).To(Equal(Line{}))
	})
})

var _ = Describe("RunSlopes", Ordered, func() {
	slopes := map[string][]Slope{}
	BeforeAll(func() {
		RunSlopes(1, func(s Slope) { slopes[s.Role] = append(slopes[s.Role], s) })
	})

	// Guards against a role whose processor time or memory is not measured.
	It("covers every role", func() {
		Expect(SlopeRoles).To(HaveLen(8))
		for _, role := range SlopeRoles {
			seen := map[Quantity]bool{}
			for _, s := range slopes[role] {
				seen[s.Quantity] = true
			}
			Expect(seen).To(HaveKey(CPU), role)
			Expect(seen).To(HaveKey(Memory), role)
		}
		Expect(slopes).To(HaveLen(len(SlopeRoles)))
	})

	// Guards against a line through points that are too few or too close to show a curve.
	It("measures at least four points over two orders of magnitude", func() {
		for _, list := range slopes {
			for _, s := range list {
				Expect(len(s.Points)).To(BeNumerically(">=", 4), s.Operation)
				first, last := s.Points[0].Units, s.Points[len(s.Points)-1].Units
				Expect(last/first).To(BeNumerically(">=", 100), s.Operation)
			}
		}
	})

	// Guards against byte counts that are estimated or depend on the iteration order of maps.
	It("counts the same bytes and calls in every run", func() {
		// The heartbeats, the announcement of a change, the value of a shard, and the reader's
		// calls to the store.
		for _, g := range []measurement{memberMeasurements()[6], announcerMeasurements()[2], collectorMeasurements()[0], readerMeasurements()[4]} {
			Expect(g.quantity).To(Or(Equal(Wire), Equal(StoreCalls)), g.operation)
			Expect(g.point(meter{}, g.sizes[1])).To(Equal(g.point(meter{}, g.sizes[1])), g.operation)
		}
	})
})
