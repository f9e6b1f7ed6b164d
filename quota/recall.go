package quota

import (
	"math/rand/v2"
	"time"
)

// recallChannel notifies one holder of the accounts that are recalled or no longer
// recalled. It sends one message at a time and retransmits it until it is
// acknowledged.
type recallChannel struct {
	pending     []recallChange
	outstanding *Message
	seq         uint64
	resendAt    time.Duration
	timer       backoff
}

type recallChange struct {
	id       Account
	recalled bool
}

func newRecallChannel(cfg *Config) recallChannel {
	return recallChannel{
		timer: backoff{initial: cfg.RetransmitInitial, max: cfg.RetransmitMax, fixed: cfg.FixedRetransmission},
	}
}

// set adds a change, in place of a pending change of the same account.
func (r *recallChannel) set(id Account, recalled bool) {
	for i := range r.pending {
		if r.pending[i].id == id {
			r.pending[i].recalled = recalled
			return
		}
	}
	r.pending = append(r.pending, recallChange{id, recalled})
}

// step returns the message to send now, if any; the caller sets the service, the
// parties and the term.
func (r *recallChannel) step(now time.Duration, rng *rand.Rand) []Message {
	if r.outstanding == nil {
		if len(r.pending) == 0 {
			return nil
		}
		r.start()
	} else if now < r.resendAt {
		return nil
	}
	r.resendAt = now + r.timer.next(rng)
	return []Message{*r.outstanding}
}

// start puts the leading pending changes of the same kind, recall or end of recall,
// into one message.
func (r *recallChannel) start() {
	recalled := r.pending[0].recalled
	m := Message{Kind: MessageRecallEnd}
	if recalled {
		m.Kind = MessageRecall
	}
	n := 0
	for n < len(r.pending) && r.pending[n].recalled == recalled {
		m.Amounts = append(m.Amounts, Amount{Account: r.pending[n].id})
		n++
	}
	r.pending = append(r.pending[:0:0], r.pending[n:]...)
	r.seq++
	m.Seq = r.seq
	r.outstanding = &m
	r.timer.reset()
}

func (r *recallChannel) acknowledge(seq uint64) {
	if r.outstanding != nil && r.outstanding.Seq == seq {
		r.outstanding = nil
	}
}
