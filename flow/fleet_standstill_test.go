package flow

import (
	"testing"
	"time"
)

// fleetStandstill has agents that stand still while inquiries, answers, hints, digests and packets wait for them, beside
// restarts and failures of others. Then the fleet is calm for longer than the stable window, while clients pause between
// their requests: a wrong belief that outlives the disruption counts.
var fleetStandstill = fleetShape{
	name: "standstill", length: 64 * time.Second, balancers: [2]int{3, 4}, agents: [2]int{4, 6}, clients: [2]int{60, 40},
	domains: 1, mod: true, stableWindow: fleetSiteWindow, trouble: true, standsStill: true, closes: true, defaultSeeds: 20,
}

const (
	fleetRound       = 20 * time.Second // from one disruption to the next
	fleetRoundActive = 4 * time.Second  // in which its parts begin
)

// standStill plans rounds of disruptions.
func (f *fleet) standStill() {
	kinds := []func(){
		f.freezeAgents,
		f.freezeAgents,
		f.cutBetweenAgents,
		func() { f.rollAgents(f.rng.Float64(), f.between(0, 300*time.Millisecond)) },
		func() { f.killInSeries(f.randomAgent(), 1+f.rng.IntN(3)) },
		func() { f.killAgents(0.3) },
		func() { f.killBalancers(f.rng.Float64()) },
		f.rollBalancers,
		func() { f.crashUpstream(f.randomAgent()) },
		f.holdBackOnce,
	}
	for round := fleetRound / 4; round < f.end-fleetRound/2; round += fleetRound {
		f.after(round, f.freezeAgents)
		for range 2 + f.rng.IntN(4) {
			f.after(round+f.between(0, fleetRoundActive), kinds[f.rng.IntN(len(kinds))])
		}
	}
}

// freezeAgents pauses the VMs of some agents; half of the times their monotonic clocks pause too.
func (f *fleet) freezeAgents() {
	suspend := f.chance(0.5)
	for _, a := range f.some(0.6 * f.rng.Float64()) {
		d := f.between(2*time.Second, 8*time.Second)
		f.note("the VM of %s is frozen for %v", a.name, d)
		f.freezeVM(a.vm, d, suspend, &a.fleetProcess, &a.upstream.fleetProcess)
		f.watch(a)
	}
}

// cutBetweenAgents cuts the links between some agents, in one direction or both.
func (f *fleet) cutBetweenAgents() {
	d, both := f.between(2*time.Second, 8*time.Second), f.chance(0.5)
	from, to := f.some(0.5*f.rng.Float64()), f.some(f.rng.Float64())
	for _, a := range from {
		for _, b := range to {
			f.note("%s does not reach %s for %v, cut both ways %v", a.name, b.name, d, both)
			f.cuts[fleetLink{a.vm, b.vm}] = f.now + d
			if both {
				f.cuts[fleetLink{b.vm, a.vm}] = f.now + d
			}
			f.oracle.disrupt(a.vm, d)
			f.oracle.disrupt(b.vm, d)
		}
	}
}

// killInSeries kills an agent several times, each time soon after its start.
func (f *fleet) killInSeries(a *fleetAgent, times int) {
	if times == 0 || !a.up {
		return
	}
	away := f.between(200*time.Millisecond, time.Second)
	f.note("%s is killed for %v", a.name, away)
	f.oracle.kill(a.vm, away)
	a.finish()
	f.after(away, func() {
		f.restart(a)
		f.after(f.between(200*time.Millisecond, 2*time.Second), func() { f.killInSeries(a, times-1) })
	})
}

// holdBackOnce pauses the VM of a balancer.
func (f *fleet) holdBackOnce() {
	b, d := f.balancers[f.rng.IntN(len(f.balancers))], f.between(2*time.Second, 8*time.Second)
	f.note("the VM of %s is frozen for %v", b.name, d)
	f.freezeVM(b.vm, d, false, &b.fleetProcess)
}

// Guards against wrong beliefs that outlive a disruption, such as an answer that is taken for one to another inquiry.
func TestFleetResetsNoOpenFlowAfterAStandstill(t *testing.T) {
	checkFleets(t, &fleetStandstill, ruleReset)
}

func TestFleetDeniesNoOpenFlowAfterAStandstill(t *testing.T) {
	checkFleets(t, &fleetStandstill, ruleDenied)
}

func TestFleetKeepsFlowsAtTheirUpstreamAfterAStandstill(t *testing.T) {
	checkFleets(t, &fleetStandstill, ruleMisdelivered)
}
