package flow

import (
	"testing"
	"time"
)

// fleetPlanned has planned work alone, which rule FLOW always counts: restarts and releases that meet, and upstreams that
// start again in place, or whose notice of exit is lost.
var fleetPlanned = fleetShape{
	name: "planned", length: 50 * time.Second, balancers: [2]int{3, 4}, agents: [2]int{4, 8}, clients: [2]int{50, 40},
	domains: 1, mod: true, stableWindow: fleetSiteWindow, trouble: true, planned: true, closes: true, defaultSeeds: 20,
}

// plannedWork plans work of several kinds, which overlaps.
func (f *fleet) plannedWork() {
	kinds := []func(){
		func() { f.rollAgents(1, f.between(0, 1500*time.Millisecond)) },
		func() { f.rollAgents(f.rng.Float64(), 0) },
		func() { f.rollAgentAgain(f.randomAgent(), 2+f.rng.IntN(4)) },
		f.rollBalancers,
		f.rollBalancers,
		f.release,
		f.scaleOut,
		f.scaleIn,
		f.replaceInPlace,
		f.replaceInPlace,
		func() { f.scaleIn(); f.rollBalancers() },
		func() { f.replaceInPlace(); f.rollAgents(0.5, 100*time.Millisecond) },
		func() { f.startBalancer(f.addBalancer()) },
		f.shift,
	}
	for at := f.between(3*time.Second, 6*time.Second); at < f.end-6*time.Second; at += f.between(100*time.Millisecond, 6*time.Second) {
		f.after(at, kinds[f.rng.IntN(len(kinds))])
	}
}

// rollAgentAgain restarts an agent several times in a row.
func (f *fleet) rollAgentAgain(a *fleetAgent, times int) {
	if times == 0 || !a.up || a.gone {
		return
	}
	f.rollAgent(a)
	f.after(f.between(1500*time.Millisecond, 6*time.Second), func() { f.rollAgentAgain(a, times-1) })
}

// replaceInPlace drains some upstreams and starts others on their VMs, soon after they have ended.
func (f *fleet) replaceInPlace() {
	for _, a := range f.some(0.3 * f.rng.Float64()) {
		f.drainInPlace(a)
	}
}

func (f *fleet) drainInPlace(a *fleetAgent) {
	s := a.upstream
	if !s.up || s.draining || a.gone {
		return
	}
	f.note("%s drains and starts again in place", s.name)
	s.draining = true
	run := s.runs
	f.after(f.between(3500*time.Millisecond, 8*time.Second), func() {
		if s.runs != run {
			return
		}
		s.leaving = true
		if f.chance(0.7) { // otherwise the notice is lost
			a.input(queueControl, 0, func() {
				a.upstreamLeaving = true
				a.publishState()
			})
		}
		f.after(f.between(0, 50*time.Millisecond), func() {
			f.note("%s leaves", s.name)
			s.exit()
			f.after(f.between(50*time.Millisecond, 2*time.Second), func() {
				if !s.up && !a.gone {
					f.note("%s starts again", s.name)
					s.launch()
				}
			})
		})
	})
}

// Guards against resets and misdeliveries beside planned work, without any disruption.
func TestFleetResetsNoOpenFlowBesidePlannedWork(t *testing.T) {
	checkFleets(t, &fleetPlanned, ruleReset)
}

func TestFleetDeniesNoOpenFlowBesidePlannedWork(t *testing.T) {
	checkFleets(t, &fleetPlanned, ruleDenied)
}

func TestFleetKeepsFlowsAtTheirUpstreamBesidePlannedWork(t *testing.T) {
	checkFleets(t, &fleetPlanned, ruleMisdelivered)
}
