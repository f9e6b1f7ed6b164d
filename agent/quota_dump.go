package agent

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/quota"
)

// QuotaState is the dump source "quota".
type QuotaState struct {
	Grantor packet.AgentID `json:"grantor"` // 0 before a grantor is known
	Control netip.AddrPort `json:"control"`
	Term    int64          `json:"term"`
	Waiting int            `json:"waiting"` // flows that wait for a token or a slot; their first packets are buffered
	Tokens  []TokenState   `json:"tokens"`
}

// TokenState is the number of tokens that this agent holds of one of a customer's limits.
type TokenState struct {
	Customer uint64 `json:"customer"` // identifier as in packet headers
	Kind     string `json:"kind"`
	Held     int32  `json:"held"`
	Used     int32  `json:"used"`
}

func (a *Agent) quotaState() QuotaState {
	a.quotaAddrs.mu.Lock()
	g := a.quotaAddrs.grantor
	a.quotaAddrs.mu.Unlock()
	s := QuotaState{Grantor: g.ID, Control: g.Control, Term: g.Term, Tokens: []TokenState{}}
	a.flows.do(func(_ time.Duration, _ *flow.Table) {
		s.Waiting = len(a.admission.buffered)
		for customer := range a.admission.customers {
			for _, kind := range []quota.Kind{quota.Connections, quota.Rate} {
				held, used := a.admission.holder.Held(quota.Account{Customer: customer, Kind: kind})
				s.Tokens = append(s.Tokens, TokenState{customer, kind.String(), held, used})
			}
		}
	})
	slices.SortFunc(s.Tokens, func(x, y TokenState) int {
		return cmp.Or(cmp.Compare(x.Customer, y.Customer), cmp.Compare(x.Kind, y.Kind))
	})
	return s
}
