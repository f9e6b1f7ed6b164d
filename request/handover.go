package request

import "time"

// maxRecent is the number of views back to which a peer is known to have records.
const maxRecent = 16

// pastView is a membership that this agent or one of its peers has adopted.
type pastView struct {
	*view
	expires time.Duration // zero while it is the present one
}

// loss marks keys that may have been granted without a record that is left.
type loss struct {
	before, after *view
	expires       time.Duration
}

// pull collects the records of all running agents for one view.
type pull struct {
	view     *view // nil when nothing is collected
	missing  map[Process]bool
	fresh    bool // no agent was complete before
	next     time.Duration
	received []pastView
}

// SetMembers adopts a membership, which must include the agent itself.
func (r *Registrar) SetMembers(now time.Duration, members []Member) {
	v := newView(members)
	if v.hash == r.current.hash {
		return
	}
	if len(r.current.Members) > 0 {
		r.history = append(r.history, pastView{r.current, now + r.cfg.Retention})
	}
	r.current = v
	r.since = append(r.since, v)
	r.adopted++
	r.recent = append(r.recent, v)
	if len(r.recent) > maxRecent {
		r.recent = r.recent[1:]
	}
	r.startPull(now)
}

func (r *Registrar) startPull(now time.Duration) {
	r.pull = pull{view: r.current, missing: make(map[Process]bool), fresh: r.complete == nil, next: now}
	for _, m := range r.current.Members {
		if p := (Process{m.ID, m.Incarnation}); p != r.self {
			r.pull.missing[p] = true
		}
	}
}

// Step expires records and asks for those that are missing.
func (r *Registrar) Step(now time.Duration) (out []Message) {
	r.expire(now)
	if r.pull.view == nil {
		return nil
	}
	if len(r.pull.missing) == 0 {
		r.finishPull(now)
		return nil
	}
	if now < r.pull.next {
		return nil
	}
	r.pull.next = now + r.cfg.PullInterval
	for _, m := range r.current.Members {
		if p := (Process{m.ID, m.Incarnation}); r.pull.missing[p] {
			out = append(out, Message{Kind: KindPull, From: r.self, To: p, View: r.current.hash, Complete: r.completeHash()})
		}
	}
	return out
}

func (r *Registrar) completeHash() uint64 {
	if r.complete == nil {
		return 0
	}
	return r.complete.hash
}

// Pull answers a request for records, once this agent has the same view: from then
// on it grants nothing under an earlier pair.
func (r *Registrar) Pull(now time.Duration, m Message) (Message, bool) {
	if m.View != r.current.hash {
		return Message{}, false
	}
	reply := Message{Kind: KindPullReply, From: r.self, To: m.From, View: m.View, Complete: r.completeHash()}
	if r.complete != nil && r.complete != r.current {
		reply.Histories = append(reply.Histories, History{Members: r.complete.Members, Left: r.cfg.Retention})
	}
	for _, h := range r.history {
		reply.Histories = append(reply.Histories, History{Members: h.Members, Left: h.expires - now})
	}
	for _, l := range r.losses {
		reply.Losses = append(reply.Losses, Loss{Before: l.before.Members, After: l.after.Members, Left: l.expires - now})
	}
	known, first := r.views(m.Complete)
	for k, held := range r.records {
		if held.expires > now && !r.current.holds(held.primary.ID, held.primary.Incarnation) && r.lacks(m, k, held, known, first) {
			for _, a := range held.attempts {
				reply.Records = append(reply.Records, Record{Key: k, Attempt: a, Left: held.expires - now, Done: held.done == a})
			}
		}
	}
	r.Counts.HandedOver += uint64(len(reply.Records))
	return reply, true
}

// views returns the views that this agent has adopted from the one with the hash on,
// and the number of the first of them; none when it does not know the hash.
func (r *Registrar) views(hash uint64) ([]*view, int) {
	for i := len(r.recent) - 1; i >= 0; i-- {
		if r.recent[i].hash == hash {
			return r.recent[i:], r.adopted - len(r.recent) + i + 1
		}
	}
	return nil, 0
}

// lacks reports whether the sender of a pull keeps a key and may not have its
// record. It was sent all records when it became complete in the first of the known
// views, and has granted the key itself in those since in which it kept the key.
func (r *Registrar) lacks(m Message, k Key, held record, known []*view, first int) bool {
	seat := r.current.pair(k).seat(m.From)
	if seat == (Seat{}) {
		return false
	}
	if len(known) == 0 || held.received > first {
		return true
	}
	for _, v := range known {
		if v.pair(k).seat(m.From) != seat {
			return true
		}
	}
	return false
}

// Pulled takes the records of another agent.
func (r *Registrar) Pulled(now time.Duration, m Message) {
	if r.pull.view == nil || m.View != r.pull.view.hash || !r.pull.missing[m.From] {
		return
	}
	delete(r.pull.missing, m.From)
	r.pull.fresh = r.pull.fresh && m.Complete == 0
	for _, rec := range m.Records {
		r.merge(now, rec)
	}
	for _, h := range m.Histories {
		r.pull.received = append(r.pull.received, pastView{newView(h.Members), now + h.Left})
	}
	for _, l := range m.Losses {
		r.addLoss(loss{newView(l.Before), newView(l.After), now + l.Left})
	}
}

// finishPull makes the registrar complete in its view. Keys whose registrars in an
// earlier view are all gone are refused for the rest of the retention time.
func (r *Registrar) finishPull(now time.Duration) {
	for _, h := range append(r.history, r.pull.received...) {
		r.addLoss(loss{h.view, r.current, h.expires})
	}
	if r.complete != nil && r.complete != r.current {
		r.addLoss(loss{r.complete, r.current, now + r.cfg.Retention})
	}
	if r.pull.fresh && !r.cfg.Fresh {
		// Agents of an earlier time may have run any key.
		r.addLoss(loss{newView(nil), r.current, now + r.cfg.Retention})
	}
	r.history, r.since = nil, nil
	r.complete, r.pull = r.current, pull{}
	r.Counts.Completed++
}

func (r *Registrar) addLoss(l loss) {
	if !l.possible() {
		return
	}
	for i := range r.losses {
		known := &r.losses[i]
		if known.before.hash == l.before.hash && known.after.hash == l.after.hash {
			known.expires = max(known.expires, l.expires)
			return
		}
	}
	r.losses = append(r.losses, l)
}

// possible reports whether two or more registrars, or all, are gone.
func (l loss) possible() bool {
	gone, all := 0, 0
	for _, m := range l.before.Members {
		if !m.Registrar {
			continue
		}
		all++
		if !l.after.holds(m.ID, m.Incarnation) {
			gone++
		}
	}
	return gone >= 2 || gone == all
}

// mayBeLost reports whether the record of an earlier grant may be missing.
func (r *Registrar) mayBeLost(now time.Duration, k Key) bool {
	for _, l := range r.losses {
		if l.expires <= now {
			continue
		}
		p := l.before.pair(k)
		if !l.after.holds(p[0].ID, p[0].Incarnation) && !l.after.holds(p[1].ID, p[1].Incarnation) {
			return true
		}
	}
	return false
}
