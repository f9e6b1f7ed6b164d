package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// An agent denies a flow when it answers a peer that its upstream does not hold the flow, or resets it. Data that the
// upstream sends on that flow afterwards shows that the denial was false: a new flow with the same addresses and
// ports begins with a SYN, which passes this agent. The check of denials changes no decision.

const (
	// denialRetention is how long a denial is remembered: a flow lives for at most that long without being
	// discarded.
	denialRetention = MaxFlowAge
	// maxDenials limits the denials that are remembered.
	maxDenials = 1 << 12
)

// FalseDenial describes a flow that this agent has denied although its upstream holds it.
type FalseDenial struct {
	Key      packet.Key
	Age      time.Duration // since the denial
	Reset    bool          // the client was sent a reset
	Complete Completeness  // why the table counted as complete then
	Loss     LossCause     // why the flow was recorded as lost then
	Returned bool          // the upstream had returned a packet of it
}

// denial is a FalseDenial that has not been shown to be false.
type denial struct {
	at              time.Duration
	reset, returned bool
	complete        Completeness
	loss            LossCause
}

// denials are the flows that this agent has denied lately, by hash.
type denials struct {
	byHash map[uint64]denial
	order  []deniedAt // by time
}

type deniedAt struct {
	hash uint64
	at   time.Duration
}

// noteDenial records that this agent denies a flow. One that has left the table half-open is left out: its upstream
// may open it later.
func (t *Table) noteDenial(now time.Duration, hash uint64, reset bool) {
	f := t.unknownFlows[hash]
	d, known := t.denials.byHash[hash]
	switch {
	case known:
		d.reset = d.reset || reset
		t.denials.byHash[hash] = d
		return
	case f.halfOpen || len(t.denials.order) >= maxDenials:
		return
	}
	d = denial{at: now, reset: reset, returned: f.returned, complete: t.Completeness(now)}
	if r, found := t.lost.find(now, hash); found {
		d.loss = r.cause
	}
	t.denials.byHash[hash] = d
	t.denials.order = append(t.denials.order, deniedAt{hash, now})
}

// checkDenial reports a denial that a packet of the upstream shows to be false.
func (t *Table) checkDenial(now time.Duration, k *packet.Key, in *packet.Info) {
	if len(t.denials.byHash) == 0 || len(in.Payload) == 0 || in.RST || in.ICMPError {
		return
	}
	hash := k.Hash()
	d, denied := t.denials.byHash[hash]
	if !denied {
		return
	}
	delete(t.denials.byHash, hash)
	t.counters.FalselyDenied++
	if t.cfg.OnFalseDenial != nil {
		t.cfg.OnFalseDenial(&FalseDenial{
			Key: *k, Age: now - d.at, Reset: d.reset, Complete: d.complete, Loss: d.loss, Returned: d.returned,
		})
	}
}

// expireDenials forgets denials that are older than denialRetention.
func (t *Table) expireDenials(now time.Duration) {
	d := &t.denials
	n := 0
	for ; n < len(d.order) && now-d.order[n].at >= denialRetention; n++ {
		if o := d.order[n]; d.byHash[o.hash].at == o.at {
			delete(d.byHash, o.hash)
		}
	}
	d.order = d.order[n:]
	if len(d.order) == 0 {
		d.order = nil
	}
}
