package flow

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Figures of the troubles that package flow must bear: those of the users' site tkl-ub-schools-grown, and
// of SIGTERM and SIGKILL on their platform.
const (
	fleetGrace        = 6 * time.Second        // from SIGTERM to SIGKILL
	fleetProbe        = 500 * time.Millisecond // interval of the platform's probes of a balancer
	fleetProbeMisses  = 2                      // until it is out of rotation
	fleetSlowStartMin = 300 * time.Millisecond // start of a process with a fifth of its processor
	fleetSlowStartMax = 1500 * time.Millisecond
	fleetFlapPeriod   = 1300 * time.Millisecond // srv_flap, gap_s
	fleetFlapTime     = 6 * time.Second         // srv_flap, for_s
	fleetLieTime      = 6 * time.Second         // srv_lying_health and srv_grey, for_s
	fleetLieRate      = 0.5                     // share of the connection checks that such an upstream refuses or ignores
	fleetMuteRate     = 0.45                    // srv_grey "mute", x: share of the packets that it ignores
)

// troubles plans some kinds of trouble, which may overlap, and at times a loss of power.
func (f *fleet) troubles() {
	kinds := f.troubleKinds()
	for at := f.between(3*time.Second, 6*time.Second); at < f.end-6*time.Second; at += f.between(100*time.Millisecond, 5*time.Second) {
		f.after(at, kinds[f.rng.IntN(len(kinds))])
	}
	if f.chance(0.2) {
		f.after(f.between(8*time.Second, 25*time.Second), func() { f.powerLoss(0.55) })
	}
	if f.chance(0.3) {
		f.after(f.end-f.between(6*time.Second, 9*time.Second), func() { f.powerLoss(1) })
	}
	// All daemons end at once. The draws have a generator of their own, so that they change no other seed.
	if rng := rand.New(rand.NewPCG(f.seed, 35)); rng.Float64() < 0.25 {
		f.after(10*time.Second+time.Duration(rng.Int64N(int64(18*time.Second))), func() {
			f.killAgents(1)
			f.killBalancers(1)
		})
	}
}

func (f *fleet) troubleKinds() []func() {
	return []func(){
		func() { f.rollAgents(1, f.between(0, 1500*time.Millisecond)) },
		func() { f.rollAgents(0.4, 1200*time.Millisecond) },
		func() { f.rollAgents(0.45, 1300*time.Millisecond) },
		func() { f.rollAgents(f.rng.Float64(), 0) },
		func() { f.killAgents(0.16) },
		func() { f.killAgents(0.3) },
		func() { f.killBalancers(0.3) },
		func() { f.killBalancers(1) },
		f.rollBalancers,
		func() { f.startBalancer(f.addBalancer()) },
		f.shift,
		f.freeze,
		func() { f.freeze(); f.rollAgents(0.4, 300*time.Millisecond) },
		f.slow,
		func() { f.slow(); f.rollAgents(0.4, 300*time.Millisecond) },
		f.lossy,
		f.cut,
		func() { f.crashUpstream(f.randomAgent()) },
		f.loseVM,
		f.flap,
		f.lie,
		f.mute,
		f.release,
		f.scaleOut,
		f.scaleIn,
		f.stepClocks,
		func() { f.mark(f.randomAgent(), f.between(500*time.Millisecond, fleetMarkMax)) },
	}
}

// some returns a share of the agents whose VMs run, at least one.
func (f *fleet) some(share float64) []*fleetAgent {
	var list []*fleetAgent
	for _, a := range f.agents {
		if !a.gone {
			list = append(list, a)
		}
	}
	f.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), max(1, int(share*float64(len(list)))))]
}

// rollAgents restarts agents one after the other, as planned work.
func (f *fleet) rollAgents(share float64, gap time.Duration) {
	for i, a := range f.some(share) {
		f.after(time.Duration(i)*gap, func() { f.rollAgent(a) })
	}
}

func (f *fleet) rollAgent(a *fleetAgent) {
	if !a.up || a.stopping || a.gone {
		return
	}
	away := f.between(200*time.Millisecond, 3*time.Second)
	f.note("%s restarts, away %v, frozen until %v", a.name, away, a.vm.frozenUntil)
	run := a.runs
	a.stop()
	f.after(fleetGrace, func() {
		if a.runs == run && a.up {
			f.note("%s is killed after the grace period", a.name)
			a.finish()
		}
	})
	f.whenDown(a, run, func() { f.after(away, func() { f.restart(a) }) })
}

// whenDown calls do once a run of an agent has ended.
func (f *fleet) whenDown(a *fleetAgent, run int, do func()) {
	if a.runs != run {
		do()
		return
	}
	f.after(50*time.Millisecond, func() { f.whenDown(a, run, do) })
}

func (f *fleet) restart(a *fleetAgent) {
	if !a.up && !a.gone {
		f.note("%s is back", a.name)
		a.start()
	}
}

// killAgents ends agents without notice.
func (f *fleet) killAgents(share float64) {
	for _, a := range f.some(share) {
		if !a.up {
			continue
		}
		away := f.between(400*time.Millisecond, 2500*time.Millisecond)
		f.note("%s is killed for %v", a.name, away)
		f.oracle.kill(a.vm, away)
		a.finish()
		f.watch(a)
		f.after(away, func() { f.restart(a) })
	}
}

// watch lets the balancers mark an agent as failed if it cannot be reached for some time, unless it
// restarts.
func (f *fleet) watch(a *fleetAgent) {
	since, run := f.now, a.runs
	f.after(f.between(2*time.Second, 4500*time.Millisecond), func() {
		unreachable := max(a.vm.cutUntil, a.vm.frozenUntil) - f.now
		if (a.up || a.runs != run) && unreachable <= 0 {
			return // it runs, or has run meanwhile
		}
		if a.announced.State == AgentRestarting && f.now-since < AgentRestartTimeout {
			f.watch(a)
			return
		}
		f.mark(a, max(0, unreachable)+f.between(100*time.Millisecond, time.Second))
	})
}

func (f *fleet) killBalancers(share float64) {
	for _, b := range slices.Clone(f.balancers) {
		if !b.up || !f.chance(share) {
			continue
		}
		away := f.between(300*time.Millisecond, 3*time.Second)
		f.note("%s is killed for %v", b.name, away)
		f.oracle.kill(b.vm, away)
		b.finish()
		f.after(away, func() { f.backBalancer(b) })
	}
}

func (f *fleet) backBalancer(b *fleetBalancer) {
	if !b.up {
		f.note("%s is back", b.name)
		b.start()
	}
}

// rollBalancers restarts balancers one after the other, as planned work.
func (f *fleet) rollBalancers() {
	gap, share := f.between(0, 1500*time.Millisecond), f.rng.Float64()
	for i, b := range slices.Clone(f.balancers) {
		if !f.chance(share) {
			continue
		}
		f.after(time.Duration(i)*gap, func() {
			if !b.up || b.leaving {
				return
			}
			f.note("%s restarts", b.name)
			b.leaving = true
			run := b.runs
			f.after(f.between(500*time.Millisecond, 1500*time.Millisecond), func() {
				if b.runs != run {
					return
				}
				b.finish()
				f.after(f.between(300*time.Millisecond, 2*time.Second), func() { f.backBalancer(b) })
			})
		})
	}
}

// probeBalancer is the platform's probe of a balancer, which decides whether it is in rotation.
func (f *fleet) probeBalancer(b *fleetBalancer) {
	if b.ready() && f.now >= b.stalledUntil && f.now >= b.vm.cutUntil {
		b.misses, b.inRotation = 0, true
	} else if b.misses++; b.misses >= fleetProbeMisses {
		b.inRotation = false
	}
	f.after(fleetProbe, func() { f.probeBalancer(b) })
}

// shift moves clients to the balancers of another failure domain for some time.
func (f *fleet) shift() {
	share, d := 0.3+0.3*f.rng.Float64(), f.between(4*time.Second, 7*time.Second)
	f.note("clients move for %v", d)
	for _, c := range f.clients {
		if !c.shifted && f.chance(share) {
			c.shifted = true
			f.after(d, func() { c.shifted = false })
		}
	}
}

// freeze pauses some VMs; half of the times their monotonic clocks pause too.
func (f *fleet) freeze() {
	suspend := f.chance(0.5)
	for _, a := range f.some(0.2 * f.rng.Float64()) {
		d := f.between(time.Second, 7*time.Second)
		f.note("the VM of %s is frozen for %v", a.name, d)
		f.freezeVM(a.vm, d, suspend, &a.fleetProcess, &a.upstream.fleetProcess)
		f.watch(a)
	}
	if f.chance(0.3) {
		b := f.balancers[f.rng.IntN(len(f.balancers))]
		d := f.between(time.Second, 7*time.Second)
		f.note("the VM of %s is frozen for %v", b.name, d)
		f.freezeVM(b.vm, d, suspend, &b.fleetProcess)
	}
}

func (f *fleet) freezeVM(vm *fleetVM, d time.Duration, suspend bool, processes ...*fleetProcess) {
	vm.frozenUntil = max(vm.frozenUntil, f.now+d)
	f.oracle.disrupt(vm, d)
	for _, p := range processes {
		if !p.up {
			continue
		}
		p.stall(d)
		// Time in which the VM is suspended already counts once, so that the clock does not go back.
		rest := f.now + d - max(f.now, p.suspendedUntil)
		if run := p.runs; suspend && rest > 0 {
			p.suspendedUntil = f.now + d
			f.after(d, func() {
				if p.runs == run {
					p.suspended = min(p.suspended+rest, f.now-p.startedAt)
				}
			})
		}
	}
}

// slow gives some VMs a fifth of their processor.
func (f *fleet) slow() {
	for _, a := range f.some(0.3 * f.rng.Float64()) {
		d := f.between(2*time.Second, 7*time.Second)
		f.note("the VM of %s is slow for %v", a.name, d)
		a.vm.slowUntil = max(a.vm.slowUntil, f.now+d)
		f.oracle.disrupt(a.vm, d)
		f.slowDown(a.vm, &a.fleetProcess)
		f.slowDown(a.vm, &a.upstream.fleetProcess)
	}
}

func (f *fleet) slowDown(vm *fleetVM, p *fleetProcess) {
	if f.now < vm.slowUntil {
		p.stall(f.between(20*time.Millisecond, 200*time.Millisecond))
		f.after(f.between(30*time.Millisecond, 250*time.Millisecond), func() { f.slowDown(vm, p) })
	}
}

// lossy lets links lose and delay packets: those of some VMs.
func (f *fleet) lossy() {
	d := f.between(4*time.Second, 7*time.Second)
	f.note("links lose packets for %v", d)
	for _, a := range f.some(0.3) {
		a.vm.lossyUntil = f.now + d
		f.oracle.disrupt(a.vm, d)
	}
	for _, b := range f.balancers {
		if f.chance(0.3) {
			b.vm.lossyUntil = f.now + d
			f.oracle.disrupt(b.vm, d)
		}
	}
}

// cut cuts off some VMs.
func (f *fleet) cut() {
	d := f.between(2*time.Second, 7*time.Second)
	for _, a := range f.some(0.2 * f.rng.Float64()) {
		f.note("%s is cut off for %v", a.name, d)
		a.vm.cutUntil = max(a.vm.cutUntil, f.now+d)
		f.oracle.disrupt(a.vm, d)
		f.watch(a)
	}
	if b := f.balancers[f.rng.IntN(len(f.balancers))]; f.chance(0.4) {
		f.note("%s is cut off for %v", b.name, d)
		b.vm.cutUntil = max(b.vm.cutUntil, f.now+d)
		f.oracle.disrupt(b.vm, d)
	}
}

// loseVM removes a VM without notice.
func (f *fleet) loseVM() {
	list := f.some(0)
	if len(list) == 0 {
		return
	}
	a := list[0]
	f.note("the VM of %s is lost", a.name)
	f.oracle.disrupt(a.vm, 0)
	f.removeVM(a)
	f.watch(a)
}

func (f *fleet) removeVM(a *fleetAgent) {
	a.gone = true
	if a.up {
		a.finish()
	}
	a.upstream.exit()
}

// flap lets an upstream end and start several times.
func (f *fleet) flap() {
	list := f.some(0)
	if len(list) == 0 {
		return
	}
	a := list[0]
	f.note("%s flaps", a.upstream.name)
	f.oracle.disrupt(a.vm, fleetFlapTime)
	for at := time.Duration(0); at < fleetFlapTime; at += fleetFlapPeriod {
		f.after(at, func() {
			a.upstream.exit()
			f.after(fleetFlapPeriod/2, func() { f.relaunch(a) })
		})
	}
}

func (f *fleet) relaunch(a *fleetAgent) {
	if !a.upstream.up && !a.gone && !a.upstream.leaving {
		a.upstream.launch()
	}
}

// lie lets upstreams refuse or ignore connection checks for some time although they run.
func (f *fleet) lie() {
	for _, a := range f.some(0.15) {
		f.note("%s lies", a.upstream.name)
		a.upstream.lyingUntil, a.upstream.refuses = f.now+fleetLieTime, f.chance(0.5)
		f.oracle.disrupt(a.vm, fleetLieTime)
	}
}

// mute lets upstreams ignore some packets for some time.
func (f *fleet) mute() {
	for _, a := range f.some(0.14) {
		f.note("%s ignores packets", a.upstream.name)
		a.upstream.muteUntil = f.now + fleetLieTime
		f.oracle.disrupt(a.vm, fleetLieTime)
	}
}

// release replaces VMs by new ones, some at a time.
func (f *fleet) release() {
	gap, step := f.between(700*time.Millisecond, 1200*time.Millisecond), 1+f.rng.IntN(6)
	for i, a := range f.some(0.3 + 0.2*f.rng.Float64()) {
		f.after(time.Duration(i/step)*gap, func() {
			f.newVM()
			f.retire(a)
		})
	}
}

func (f *fleet) newVM() {
	n := f.addAgent()
	f.note("the VM of %s is new", n.name)
	if old := f.agents[f.rng.IntN(len(f.agents))]; old.gone && !old.reused && f.chance(0.3) {
		f.note("%s has the address of %s", n.name, old.name)
		n.addr = old.addr
	}
	f.startVM(n, 1500*time.Millisecond)
	f.stallVM(n)
}

// retire drains an upstream and removes its VM.
func (f *fleet) retire(a *fleetAgent) {
	if !a.upstream.up || a.upstream.draining || a.gone {
		return
	}
	f.note("%s drains", a.upstream.name)
	a.upstream.draining = true
	f.after(f.between(5*time.Second, 8*time.Second), func() {
		if a.gone || !a.upstream.up || !a.upstream.draining {
			return
		}
		f.note("%s leaves", a.upstream.name)
		a.upstream.leaving = true
		a.input(queueControl, 0, func() {
			a.upstreamLeaving = true
			a.publishState()
		})
		f.after(f.between(0, 50*time.Millisecond), a.upstream.exit)
		f.after(f.between(200*time.Millisecond, time.Second), func() {
			a.gone = true
			if a.up && !a.stopping {
				a.stop()
			}
			f.after(fleetGrace, func() {
				if a.up {
					a.finish()
				}
				a.reused = f.chance(0.5)
			})
		})
	})
}

func (f *fleet) scaleOut() {
	for range 1 + len(f.agents)/5 {
		f.after(f.between(0, 2*time.Second), f.newVM)
	}
}

func (f *fleet) scaleIn() {
	for _, a := range f.some(0.15) {
		f.retire(a)
	}
}

// stepClocks lets the time of day jump on some VMs, and perhaps back.
func (f *fleet) stepClocks() {
	for _, a := range f.some(0.4) {
		before, jump := a.vm.wallOffset, f.between(-8*time.Second, 8*time.Second)
		f.note("the time of day on the VM of %s jumps by %v", a.name, jump)
		a.vm.wallOffset += jump
		if f.chance(0.5) {
			f.after(f.between(time.Second, 8*time.Second), func() { a.vm.wallOffset = before })
		}
	}
}

// powerLoss ends all processes on some VMs, with all flows.
func (f *fleet) powerLoss(share float64) {
	f.note("%v of the VMs lose power", share)
	down := f.between(500*time.Millisecond, 2*time.Second)
	for _, a := range f.some(share) {
		f.oracle.disrupt(a.vm, down)
		if a.up {
			a.finish()
		}
		a.upstream.exit()
		f.watch(a)
		f.after(down, func() {
			if !a.gone && !a.upstream.leaving {
				f.startVM(a, 1500*time.Millisecond)
			}
		})
	}
	for _, b := range f.balancers {
		if b.up && f.chance(share) {
			f.oracle.disrupt(b.vm, down)
			b.finish()
			f.after(down+f.between(0, 300*time.Millisecond), func() { f.backBalancer(b) })
		}
	}
}
