package balancer

import (
	"slices"
	"strings"

	"github.com/nutmegtrack/nutmegtrack/quota"
)

// GrantorState is the state of one service's grantor in the dump source "quota".
type GrantorState struct {
	Service string        `json:"service"`
	Term    int64         `json:"term"`
	Counted bool          `json:"counted"` // whether the recount of all tokens has finished
	Ledger  []LedgerEntry `json:"ledger"`
}

// LedgerEntry is the state of one limit of one customer.
type LedgerEntry struct {
	Customer string `json:"customer"` // empty for the sources to which the default plan applies
	Kind     string `json:"kind"`
	Limit    int32  `json:"limit"`
	Issued   int32  `json:"issued"`
	Exact    bool   `json:"exact"` // whether the recount has covered Issued; Issued is 0 before
}

// state returns the terms of this balancer for the dump, sorted by service.
func (g *grantors) state() []GrantorState {
	out := []GrantorState{}
	if g == nil {
		return out
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.terms {
		out = append(out, GrantorState{t.service, t.number, t.grantor.Counted(), t.ledger()})
	}
	slices.SortFunc(out, func(a, b GrantorState) int { return strings.Compare(a.Service, b.Service) })
	return out
}

func (t *grantorTerm) ledger() (out []LedgerEntry) {
	if t.lists == nil {
		return nil
	}
	for _, l := range t.lists.Lists.LimitsAt(t.service) {
		out = append(out,
			t.entry(l.Name, quota.Account{Customer: l.ID, Kind: quota.Connections}, l.Limits.Connections),
			t.entry(l.Name, quota.Account{Customer: l.ID, Kind: quota.Rate}, l.Limits.NewConnectionsPerSecond))
	}
	return out
}

func (t *grantorTerm) entry(name string, id quota.Account, limit int) LedgerEntry {
	issued, exact := t.grantor.Issued(id)
	return LedgerEntry{name, id.Kind.String(), int32(limit), issued, exact}
}
