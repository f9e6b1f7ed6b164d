package request

import "time"

// maxRecentViews is the number of recent views that a registrar keeps. From them it
// determines which records a peer already has, and leaves these out of a hand-over.
const maxRecentViews = 16

// pastView is an earlier view, adopted by this agent or one of its peers, under which
// unexpired grants may have been made. It is sent as a History.
type pastView struct {
	*view
	expires time.Duration // when all records of grants under this view have expired
}

// loss covers the keys whose registrars in an earlier view (before) are all absent from a
// later one (after). These keys may have been granted although no registrar has a record of
// the grant any more. If before is an empty view, the loss covers all keys.
type loss struct {
	before, after *view
	expires       time.Duration
}

// pull is the state of collecting the records of all running agents for one view.
type pull struct {
	view         *view // nil if no pull is in progress
	missing      map[Process]bool
	noneComplete bool // no agent has been complete so far
	next         time.Duration
	pastViews    []pastView // from the replies
}

// SetMembers adopts a membership, which must include the agent itself.
func (r *Registrar) SetMembers(now time.Duration, members []Member) {
	v := newView(members)
	if v.hash == r.current.hash {
		return
	}
	if len(r.current.Members) > 0 {
		r.pastViews = append(r.pastViews, pastView{r.current, now + r.cfg.Retention})
	}
	r.current = v
	r.sinceComplete = append(r.sinceComplete, v)
	r.adoptedCount++
	r.recentViews = append(r.recentViews, v)
	if len(r.recentViews) > maxRecentViews {
		r.recentViews = r.recentViews[1:]
	}
	r.startPull(now)
}

func (r *Registrar) startPull(now time.Duration) {
	r.pull = pull{view: r.current, missing: make(map[Process]bool), noneComplete: r.complete == nil, next: now}
	for _, m := range r.current.Members {
		if p := (Process{m.ID, m.Incarnation}); p != r.self {
			r.pull.missing[p] = true
		}
	}
}

// Step expires records and returns requests for the records of the agents that have not
// sent theirs.
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

// HandlePull answers a request for records, but only if this agent has the same view. An
// agent that has adopted a view grants nothing under a pair of an earlier view, so no such
// grant can follow the reply.
func (r *Registrar) HandlePull(now time.Duration, m Message) (Message, bool) {
	if m.View != r.current.hash {
		return Message{}, false
	}
	reply := Message{Kind: KindPullReply, From: r.self, To: m.From, View: m.View, Complete: r.completeHash()}
	if r.complete != nil && r.complete != r.current {
		reply.Histories = append(reply.Histories, History{Members: r.complete.Members, Left: r.cfg.Retention})
	}
	for _, h := range r.pastViews {
		reply.Histories = append(reply.Histories, History{Members: h.Members, Left: h.expires - now})
	}
	for _, l := range r.losses {
		reply.Losses = append(reply.Losses, Loss{Before: l.before.Members, After: l.after.Members, Left: l.expires - now})
	}
	known, completeAt := r.viewsSince(m.Complete)
	for k, held := range r.records {
		if held.expires > now && !r.current.contains(held.firstRegistrar.ID, held.firstRegistrar.Incarnation) && r.needsRecord(m, k, held, known, completeAt) {
			for _, a := range held.attempts {
				reply.Records = append(reply.Records, Record{Key: k, Attempt: a, Left: held.expires - now, Done: held.done == a, StartLeft: held.startLeft(now)})
			}
		}
	}
	r.Counts.HandedOver += uint64(len(reply.Records))
	return reply, true
}

// viewsSince returns the views that this agent has adopted, starting with the one that
// has the hash, and the position of that view in the order of adoption, counted from 1.
// It returns none if the hash is not among the recent views.
func (r *Registrar) viewsSince(hash uint64) ([]*view, int) {
	for i := len(r.recentViews) - 1; i >= 0; i-- {
		if r.recentViews[i].hash == hash {
			return r.recentViews[i:], r.adoptedCount - len(r.recentViews) + i + 1
		}
	}
	return nil, 0
}

// needsRecord reports whether the sender of a pull is a registrar of the key and may not
// have its record. The known views start with the one in which the sender was last
// complete; completeAt is the position of that view in the order in which this agent
// adopted its views. The sender has the record if it is the same registrar of the key in
// all known views, unless the record was handed over to this agent in a later view than
// the first of them.
func (r *Registrar) needsRecord(m Message, k Key, held keyRecord, knownViews []*view, completeAt int) bool {
	registrar := r.current.pair(k).registrarID(m.From)
	if registrar == (RegistrarID{}) {
		return false
	}
	if len(knownViews) == 0 || held.handedOverAt > completeAt {
		return true
	}
	for _, v := range knownViews {
		if v.pair(k).registrarID(m.From) != registrar {
			return true
		}
	}
	return false
}

// HandlePullReply handles another agent's reply to a pull and merges its records.
func (r *Registrar) HandlePullReply(now time.Duration, m Message) {
	if r.pull.view == nil || m.View != r.pull.view.hash || !r.pull.missing[m.From] {
		return
	}
	delete(r.pull.missing, m.From)
	r.pull.noneComplete = r.pull.noneComplete && m.Complete == 0
	for _, rec := range m.Records {
		r.merge(now, rec)
	}
	for _, h := range m.Histories {
		r.pull.pastViews = append(r.pull.pastViews, pastView{newView(h.Members), now + h.Left})
	}
	for _, l := range m.Losses {
		r.addLoss(loss{newView(l.Before), newView(l.After), now + l.Left})
	}
}

// finishPull marks the registrar as complete in its view, after the last reply. Keys whose
// registrars in an earlier view are all gone are refused for the rest of the retention time.
func (r *Registrar) finishPull(now time.Duration) {
	for _, h := range append(r.pastViews, r.pull.pastViews...) {
		r.addLoss(loss{h.view, r.current, h.expires})
	}
	if r.complete != nil && r.complete != r.current {
		r.addLoss(loss{r.complete, r.current, now + r.cfg.Retention})
	}
	if r.pull.noneComplete && !r.cfg.NewService {
		// Agents that are no longer members may have run any key, so the loss covers all
		// keys.
		r.addLoss(loss{newView(nil), r.current, now + r.cfg.Retention})
	}
	r.pastViews, r.sinceComplete = nil, nil
	r.complete, r.pull = r.current, pull{}
	r.Counts.Completed++
}

func (r *Registrar) addLoss(l loss) {
	if !l.affectsKeys() {
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

// affectsKeys reports whether two or more registrars, or all of them, are gone: only
// then can a key have lost both of its registrars. If before has no registrars, all are
// gone.
func (l loss) affectsKeys() bool {
	gone, all := 0, 0
	for _, m := range l.before.Members {
		if !m.Registrar {
			continue
		}
		all++
		if !l.after.contains(m.ID, m.Incarnation) {
			gone++
		}
	}
	return gone >= 2 || gone == all
}

// recordMayBeLost reports whether an earlier grant of the key may have lost all its records.
func (r *Registrar) recordMayBeLost(now time.Duration, k Key) bool {
	for _, l := range r.losses {
		if l.expires <= now {
			continue
		}
		p := l.before.pair(k)
		if !l.after.contains(p[0].ID, p[0].Incarnation) && !l.after.contains(p[1].ID, p[1].Incarnation) {
			return true
		}
	}
	return false
}
