package quota

import (
	"time"
)

// freeze stops the transfers of one group of accounts during a recount.
type freeze struct {
	active bool
	group  uint8
	seq    uint64
	until  time.Duration
}

func (f *freeze) covers(a Account) bool { return f.active && a.group() == f.group }

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

// handleFreeze stops the group's transfers and reports its tokens. A repeated
// message of the same recount does not extend the freeze, because the grantor
// counts its timeout from the first one it sent.
func (h *Holder) handleFreeze(now time.Duration, m *Message) Message {
	if m.Seq > h.freeze.seq {
		h.freeze = freeze{active: true, group: m.Group, seq: m.Seq, until: now + h.cfg.RecountTimeout}
	}
	report := h.message(MessageReport, m.From)
	report.Seq = m.Seq
	report.Group = m.Group
	report.Term = m.Term
	// Reports of a recount that is no longer running here are void.
	if !h.freeze.active || h.freeze.seq != m.Seq {
		report.Seq = 0
		return report
	}
	report.Amounts = h.groupTokens(m.Group)
	for _, p := range h.parties {
		report.Channels = append(report.Channels, h.channels[p].report(m.Group))
	}
	return report
}

// groupTokens returns the tokens of a group that are here: held, or queued and
// not yet sent.
func (h *Holder) groupTokens(group uint8) []Amount {
	var list []Amount
	for _, a := range h.accounts {
		if a.id.group() != group {
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

func (c *channel) report(group uint8) ChannelReport {
	r := ChannelReport{Peer: c.peer, ReceivedSeq: c.received}
	for _, amount := range c.outstanding {
		if amount.Account.group() == group {
			r.OutstandingSeq = c.seq
			r.Outstanding = append(r.Outstanding, amount)
		}
	}
	return r
}
