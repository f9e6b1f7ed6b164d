package quota

import (
	"time"
)

// freeze suspends the transfers of some groups of accounts during a recount.
type freeze struct {
	active bool
	groups uint64
	seq    uint64
	until  time.Duration
}

func (f *freeze) covers(a Account) bool { return f.active && a.group()&f.groups != 0 }

func (f *freeze) expire(now time.Duration) {
	if f.active && now >= f.until {
		f.active = false
	}
}

func (f *freeze) release(seq uint64) {
	if f.seq == seq {
		f.active = false
	}
}

// handleFreeze suspends the transfers of the groups and reports their tokens. A
// repeated message of the same recount does not extend the freeze, because the
// grantor measures its timeout from the first message that it sent.
func (h *Holder) handleFreeze(now time.Duration, m *Message) Message {
	if m.Seq > h.freeze.seq {
		h.freeze = freeze{active: true, groups: m.Groups, seq: m.Seq, until: now + h.cfg.RecountTimeout}
	}
	report := h.message(MessageReport, m.From)
	report.Seq = m.Seq
	report.Groups = m.Groups
	report.Term = m.Term
	// Seq 0 marks the report as invalid if the freeze of this recount is not active.
	if !h.freeze.active || h.freeze.seq != m.Seq {
		report.Seq = 0
		return report
	}
	report.Amounts = h.groupTokens(m.Groups)
	for _, p := range h.parties {
		report.Channels = append(report.Channels, h.channels[p].report(m.Groups))
	}
	return report
}

// groupTokens returns the tokens of some groups at this holder: held, or queued and
// not yet sent.
func (h *Holder) groupTokens(groups uint64) []Amount {
	var list []Amount
	for _, a := range h.accounts {
		if a.id.group()&groups == 0 {
			continue
		}
		tokens := a.held
		for _, p := range h.parties {
			tokens += h.channels[p].queued[a.id]
		}
		if tokens > 0 {
			list = append(list, Amount{a.id, tokens})
		}
	}
	return list
}

func (c *channel) report(groups uint64) ChannelReport {
	r := ChannelReport{Peer: c.peer, ReceivedSeq: c.received}
	for _, amount := range c.outstanding {
		if amount.Account.group()&groups != 0 {
			r.OutstandingSeq = c.seq
			r.Outstanding = append(r.Outstanding, amount)
		}
	}
	return r
}
