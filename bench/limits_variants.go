package bench

import (
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/quota"
)

const benchService packet.ServiceID = 1

func newAdmission(r *limitsRun, v LimitsVariant) admission {
	switch v {
	case FixedSplit:
		return newFixedSplit(r)
	case AskGrantor:
		return newAskGrantor(r)
	}
	return newTokens(r, v == TokensFixedRetransmission)
}

// fixedSplit divides every limit into equal parts, one for each agent.
type fixedSplit struct {
	run    *limitsRun
	used   []map[quota.Account]int32
	limits map[quota.Account]int32
}

func newFixedSplit(r *limitsRun) *fixedSplit {
	p := &fixedSplit{run: r, limits: map[quota.Account]int32{}}
	for range r.o.Upstreams {
		p.used = append(p.used, map[quota.Account]int32{})
	}
	return p
}

func (p *fixedSplit) setLimits(limits []quota.Amount) {
	for _, l := range limits {
		p.limits[l.Account] = l.Tokens
	}
}

// share returns an agent's part of a limit. The remainder goes to the first agents.
func (p *fixedSplit) share(agent int, a quota.Account) int32 {
	n := int32(p.run.o.Upstreams)
	share := p.limits[a] / n
	if int32(agent) < p.limits[a]%n {
		share++
	}
	return share
}

func (p *fixedSplit) admit(agent int, customer uint64, done func(bool)) {
	connections := quota.Account{Customer: customer, Kind: quota.Connections}
	rate := quota.Account{Customer: customer, Kind: quota.Rate}
	used := p.used[agent]
	if used[connections] >= p.share(agent, connections) || used[rate] >= p.share(agent, rate) {
		done(false)
		return
	}
	used[connections]++
	used[rate]++
	p.run.net.After(netip.AddrPort{}, time.Second, func() { used[rate]-- })
	done(true)
}

func (p *fixedSplit) release(agent int, customer uint64) {
	p.used[agent][quota.Account{Customer: customer, Kind: quota.Connections}]--
}

func (p *fixedSplit) free(customer uint64) bool {
	a := quota.Account{Customer: customer, Kind: quota.Connections}
	for agent := range p.used {
		if p.used[agent][a] < p.share(agent, a) {
			return true
		}
	}
	return false
}

func (p *fixedSplit) step() {}

func (p *fixedSplit) agentLost(agent int) { p.used[agent] = map[quota.Account]int32{} }

// askGrantor sends a request to a central process for each new connection. Releases
// are never lost in the simulation, which favours this variant over tokens.
type askGrantor struct {
	run    *limitsRun
	used   map[quota.Account]int32
	limits map[quota.Account]int32
	agents []map[uint64]int32
}

func newAskGrantor(r *limitsRun) *askGrantor {
	p := &askGrantor{run: r, used: map[quota.Account]int32{}, limits: map[quota.Account]int32{}}
	r.net.Attach(grantorAddr, "grantor", func(_ time.Duration, _ netip.AddrPort, m any) any { return p.decide(m.(uint64)) })
	for i := range r.o.Upstreams {
		p.agents = append(p.agents, map[uint64]int32{})
		r.net.Attach(agentAddr(i), agentSegment(i), nil)
	}
	return p
}

func (p *askGrantor) setLimits(limits []quota.Amount) {
	for _, l := range limits {
		p.limits[l.Account] = l.Tokens
	}
}

func (p *askGrantor) decide(customer uint64) bool {
	connections := quota.Account{Customer: customer, Kind: quota.Connections}
	rate := quota.Account{Customer: customer, Kind: quota.Rate}
	if p.used[connections] >= p.limits[connections] || p.used[rate] >= p.limits[rate] {
		return false
	}
	p.used[connections]++
	p.used[rate]++
	p.run.net.After(netip.AddrPort{}, time.Second, func() { p.used[rate]-- })
	return true
}

// requestBytes is the size of a request and its reply in bytes.
const requestBytes = 2 * 48

func (p *askGrantor) admit(agent int, customer uint64, done func(bool)) {
	p.run.countBytes(requestBytes)
	p.run.net.Request(agentAddr(agent), grantorAddr, customer, func(reply any, ok bool) {
		admitted := ok && reply.(bool)
		if admitted {
			p.agents[agent][customer]++
		}
		done(admitted)
	})
}

func (p *askGrantor) release(agent int, customer uint64) {
	p.run.countBytes(requestBytes)
	p.used[quota.Account{Customer: customer, Kind: quota.Connections}]--
	p.agents[agent][customer]--
}

func (p *askGrantor) free(customer uint64) bool {
	a := quota.Account{Customer: customer, Kind: quota.Connections}
	return p.used[a] < p.limits[a]
}

func (p *askGrantor) step() {}

func (p *askGrantor) agentLost(agent int) {
	for customer, n := range p.agents[agent] {
		p.used[quota.Account{Customer: customer, Kind: quota.Connections}] -= n
	}
	p.agents[agent] = map[uint64]int32{}
}

// tokens is the mechanism of package quota: holders, and a grantor that a successor with
// a higher term can replace.
type tokens struct {
	run          *limitsRun
	cfg          quota.Config
	holders      []*quota.Holder
	parties      []quota.Party
	grantor      *quota.Grantor
	grantorParty quota.Party // identity of the grantor
	term         int64
	limits       []quota.Amount
	// pendingFlows holds, by flow, the callbacks of the clients whose flow waits for a token.
	pendingFlows map[uint64]func(bool)
	flow         uint64
}

func newTokens(r *limitsRun, fixed bool) *tokens {
	p := &tokens{run: r, cfg: quota.Config{FixedRetransmission: fixed}, pendingFlows: map[uint64]func(bool){}}
	for i := range r.o.Upstreams {
		p.holders = append(p.holders, nil)
		p.parties = append(p.parties, quota.Party{})
		p.startHolder(i)
	}
	p.startGrantor()
	return p
}

func (p *tokens) startHolder(i int) {
	restart := p.run.restarts[i]
	p.parties[i] = quota.Party{ID: packet.AgentIDOf("u" + strconv.Itoa(i)), Incarnation: uint64(restart + 1)}
	rng := rand.New(rand.NewPCG(p.run.o.Seed, uint64(100*i+restart)))
	p.holders[i] = quota.NewHolder(p.cfg, benchService, p.parties[i], rng)
	p.run.net.Attach(agentAddr(i), agentSegment(i), func(now time.Duration, _ netip.AddrPort, m any) any {
		if now >= p.run.paused[i] {
			p.send(agentAddr(i), p.holders[i].Handle(now, m.(quota.Message)))
			p.passDecisions(i)
		}
		return nil
	})
}

// startGrantor starts a grantor with the next term.
func (p *tokens) startGrantor() {
	p.term++
	p.grantorParty = quota.Party{ID: packet.AgentIDOf("balancer" + strconv.FormatInt(p.term, 10)), Incarnation: 1}
	rng := rand.New(rand.NewPCG(p.run.o.Seed, uint64(10_000+p.term)))
	g := quota.NewGrantor(p.run.net.Now(), p.cfg, benchService, p.grantorParty, p.term, rng)
	g.SetLimits(p.limits)
	p.grantor = g
	p.run.net.Attach(grantorAddr, "grantor", func(now time.Duration, _ netip.AddrPort, m any) any {
		p.send(grantorAddr, g.Handle(now, m.(quota.Message)))
		return nil
	})
}

// stopGrantor stops the current grantor, whose ledger is lost.
func (p *tokens) stopGrantor() {
	p.grantor = nil
	p.run.net.Detach(grantorAddr)
}

func (p *tokens) setLimits(limits []quota.Amount) {
	p.limits = limits
	if p.grantor != nil {
		p.grantor.SetLimits(limits)
	}
}

func (p *tokens) step() {
	now := p.run.net.Now()
	peers := make([]quota.Peer, len(p.parties))
	infos := make([]quota.HolderInfo, len(p.parties))
	for i, party := range p.parties {
		peers[i] = quota.Peer{Party: party, Accepting: true}
		infos[i] = quota.HolderInfo{Party: party, Accepting: true}
	}
	for i, h := range p.holders {
		if now < p.run.paused[i] {
			continue
		}
		h.SetPeers(peers)
		p.send(agentAddr(i), h.Step(now))
		p.passDecisions(i)
	}
	if p.grantor != nil {
		p.grantor.SetHolders(now, infos)
		p.send(grantorAddr, p.grantor.Step(now))
	}
}

// send sends messages to their receivers. Messages to the same receiver are counted as
// one call.
func (p *tokens) send(from netip.AddrPort, messages []quota.Message) {
	called := map[quota.Party]bool{}
	for _, m := range messages {
		if !called[m.To] {
			called[m.To] = true
			p.run.countBytes(quota.EnvelopeSize)
		}
		p.run.countBytes(m.WireSize())
		p.run.net.Send(from, p.addr(m.To), m)
	}
}

func (p *tokens) addr(to quota.Party) netip.AddrPort {
	for i, party := range p.parties {
		if party.ID == to.ID {
			return agentAddr(i)
		}
	}
	return grantorAddr
}

func (p *tokens) admit(agent int, customer uint64, done func(bool)) {
	p.flow++
	switch p.holders[agent].Admit(p.run.net.Now(), customer, p.flow) {
	case quota.Admitted:
		done(true)
	case quota.Waiting:
		p.pendingFlows[p.flow] = done
	default:
		done(false)
	}
}

// passDecisions passes on the decisions that a holder has made since the last call.
func (p *tokens) passDecisions(agent int) {
	for _, d := range p.holders[agent].Decisions() {
		done := p.pendingFlows[d.Flow]
		delete(p.pendingFlows, d.Flow)
		done(d.Verdict == quota.Admitted)
	}
}

func (p *tokens) release(agent int, customer uint64) {
	p.holders[agent].Release(p.run.net.Now(), customer)
	p.passDecisions(agent)
}

func (p *tokens) free(customer uint64) bool {
	for i, h := range p.holders {
		if p.run.net.Now() < p.run.paused[i] {
			continue
		}
		held, used := h.Held(quota.Account{Customer: customer, Kind: quota.Connections})
		rateHeld, rateUsed := h.Held(quota.Account{Customer: customer, Kind: quota.Rate})
		if held > used && rateHeld > rateUsed {
			return true
		}
	}
	return false
}

func (p *tokens) agentLost(agent int) { p.startHolder(agent) }

var grantorAddr = netip.MustParseAddrPort("127.0.0.1:1")

func agentAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i / 250)}), uint16(1000+i))
}

// agentSegment returns the name of the agent's own network segment, which fake.Network.Cut
// separates from others.
func agentSegment(i int) string { return "agent" + strconv.Itoa(i) }
