package flow

import (
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// baseline is an agent that accepts every first packet and exchanges no messages. With
// forwardToPrevious it first forwards a packet of an unknown flow, except a SYN, once to the
// flow's previous first choice: the first choice before the last change of the accepting
// upstreams. It stores its flows in a table without peers.
type baseline struct {
	table             *Table
	forwardToPrevious bool
	accepting         []Upstream
	previous          []Upstream
}

func (b *baseline) SetPeers(_ time.Duration, peers []Upstream) {
	var accepting []Upstream
	for _, u := range peers {
		if u.State.Accepts() {
			accepting = append(accepting, u)
		}
	}
	sameUpstream := func(x, y Upstream) bool { return x.ID == y.ID }
	if !slices.EqualFunc(accepting, b.accepting, sameUpstream) {
		b.previous, b.accepting = b.accepting, accepting
	}
}

func (b *baseline) SetState(now time.Duration, s State) { b.table.SetState(now, s) }

func (b *baseline) Receive(now time.Duration, h *packet.Header, in *packet.Info) Action {
	t := b.table
	if h.Service != t.service {
		return t.drop(ReasonWrongService)
	}
	hash := in.Key.Hash()
	if e := t.flows.find(hash, &in.Key); e != nil {
		t.processClientPacket(now, e, in)
		return b.deliver(now, h, e)
	}
	syn := in.First && in.Key.Proto == packet.ProtoTCP
	if b.forwardToPrevious && !syn && h.Hops == 0 {
		if u := b.previousFirstChoice(hash); u != nil && u.ID != t.self.ID {
			return t.forward(h, newPeer(now, *u))
		}
	}
	if !in.First {
		return t.drop(ReasonNoOwner)
	}
	return b.deliver(now, h, t.takeOwnership(now, hash, &in.Key))
}

// deliver sends no hint: the baselines' balancers don't use hints from agents.
func (b *baseline) deliver(now time.Duration, h *packet.Header, e *entry) Action {
	a := b.table.deliver(now, h, e)
	a.Hint, a.ExtraHints = false, nil
	return a
}

func (b *baseline) previousFirstChoice(hash uint64) *Upstream {
	var best uint64
	var found *Upstream
	for i := range b.previous {
		if v := score(hash, seedOf(b.previous[i].ID)); found == nil || v > best {
			best, found = v, &b.previous[i]
		}
	}
	return found
}

func (b *baseline) Step(now time.Duration) []Message {
	b.table.sweep(now)
	return nil
}

func (b *baseline) Handle(time.Duration, Message) {}

func (b *baseline) HandleUndelivered(time.Duration, Message) {}

func (b *baseline) Open() int { return b.table.Open() }
