package bench

import "github.com/nutmegtrack/nutmegtrack/flow"

// changeKind is a kind of change to the fleet.
type changeKind int

const (
	drainUpstream changeKind = iota
	joinUpstream
	replaceUpstream
	killBalancer
	joinBalancer
	changeKinds
)

func (k changeKind) affectsBalancer() bool { return k == killBalancer || k == joinBalancer }

// change applies one random change or, in a third of the calls, two at the same instant.
func (w *world) change() {
	w.lastChangedUpstream, w.lastChangedBalancer = false, false
	first := w.pickChange(changeKinds)
	w.apply(first)
	if w.changeRand.IntN(3) == 0 {
		w.apply(w.pickChange(first))
	}
}

// pickChange returns a random kind, other than the excluded one, that keeps the size of
// the fleet near the configured one.
func (w *world) pickChange(exclude changeKind) changeKind {
	for {
		k := changeKind(w.changeRand.IntN(int(changeKinds)))
		if k != exclude && w.possible(k) {
			return k
		}
	}
}

func (w *world) possible(k changeKind) bool {
	accepting := len(w.ready(0)) + w.starting
	switch k {
	case drainUpstream:
		return accepting >= w.cfg.Upstreams && len(w.ready(0)) > 1
	case joinUpstream:
		return accepting <= w.cfg.Upstreams
	case replaceUpstream:
		return len(w.ready(0)) > 1
	case killBalancer:
		return len(w.balancers) >= w.cfg.Balancers && len(w.balancers) > 1
	default:
		return len(w.balancers) <= w.cfg.Balancers
	}
}

func (w *world) apply(k changeKind) {
	w.count.changes++
	w.lastChangedUpstream = w.lastChangedUpstream || !k.affectsBalancer()
	w.lastChangedBalancer = w.lastChangedBalancer || k.affectsBalancer()
	switch k {
	case drainUpstream:
		w.drainOne()
	case joinUpstream:
		w.join(func() {})
	case replaceUpstream:
		w.join(w.drainOne)
	case killBalancer:
		i := w.changeRand.IntN(len(w.balancers))
		w.balancers = append(w.balancers[:i:i], w.balancers[i+1:]...)
	case joinBalancer:
		w.addBalancer()
	}
}

// join starts an upstream and calls onReady once it is ready, after startingTime.
func (w *world) join(onReady func()) {
	u := w.addUpstream(0, flow.Starting)
	w.starting++
	w.at(w.now+startingTime, func() {
		w.starting--
		w.setState(u, flow.Ready)
		w.lastChangedUpstream = true
		onReady()
	})
}

// drainOne drains a random ready upstream except the newest one, so that a replacement
// does not drain the upstream that it has just started.
func (w *world) drainOne() {
	ready := w.ready(0)
	if len(ready) < 2 {
		return
	}
	w.setState(ready[w.changeRand.IntN(len(ready)-1)], flow.Draining)
	w.lastChangedUpstream = true
}
