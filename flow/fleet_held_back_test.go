package flow

import (
	"testing"
	"time"
)

// fleetHeldBack has clients with long pauses between their requests, and balancers that stand still. No packet is
// dropped for its age, as on systems that do not tell when a packet has arrived.
var fleetHeldBack = fleetShape{
	name: "held back", length: 40 * time.Second, balancers: [2]int{4, 4}, agents: [2]int{4, 6}, clients: [2]int{100, 50},
	domains: 1, mod: true, stableWindow: fleetSiteWindow, trouble: true, holdsBack: true, defaultSeeds: 180,
}

// holdBackPackets pauses half of the balancers again and again, for longer than the tries of a client last. Meanwhile
// copies of the first packets that they hold open flows through the others.
func (f *fleet) holdBackPackets() {
	for at := 3 * time.Second; at < f.end-10*time.Second; at += 9 * time.Second {
		f.after(at, func() {
			for _, i := range f.rng.Perm(len(f.balancers))[:len(f.balancers)/2] {
				b, d := f.balancers[i], f.between(5*time.Second, 8*time.Second)
				f.note("the VM of %s is frozen for %v", b.name, d)
				f.freezeVM(b.vm, d, false, &b.fleetProcess)
			}
		})
	}
}

// Guards against resets of open flows, and against packets that miss their upstream, after first packets that arrive
// seconds late.
func TestFleetResetsNoOpenFlowForPacketsHeldBack(t *testing.T) {
	checkFleets(t, &fleetHeldBack, ruleReset)
}

func TestFleetDeniesNoOpenFlowForPacketsHeldBack(t *testing.T) {
	checkFleets(t, &fleetHeldBack, ruleDenied)
}

func TestFleetKeepsFlowsAtTheirUpstreamBesidePacketsHeldBack(t *testing.T) {
	checkFleets(t, &fleetHeldBack, ruleMisdelivered)
}
