package bench

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/fake"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/request"
)

const (
	requestAgents  = 10
	requestDomains = 3
	requestSlots   = 5
	requestStep    = 10 * time.Millisecond

	deathInterval   = time.Minute
	pauseInterval   = time.Minute
	replaceDelay    = 5 * time.Second
	detectionDelay  = 4 * time.Second // until an agent that stopped sending is marked as failed
	membershipDelay = 3 * time.Second // maximum delay until an agent is notified of a membership change
	maxPause        = 8 * time.Second

	delayedShare  = 0.002 // share of the agents' messages that are delayed by up to maxExtraDelay
	maxExtraDelay = 2 * time.Second

	lostShare       = 0.0005 // share of the messages between caller and agent that are lost
	retransmitDelay = 250 * time.Millisecond
)

// requestWorld is one run of one variant.
type requestWorld struct {
	cfg         RequestsConfig
	variant     permitVariant
	net         *fake.Network
	rng         *rand.Rand
	agents      []*requestAgent // agents to which callers are routed
	byAddr      map[packet.AgentID]netip.AddrPort
	members     []request.Member
	agentCount  int
	callers     *requestCallers
	ledger      requestLedger
	store       *requestStore
	deaths      int
	lateAnswers uint64
}

func newRequestWorld(cfg RequestsConfig, v permitVariant) *requestWorld {
	w := &requestWorld{
		cfg: cfg, variant: v,
		net:    fake.NewNetwork(cfg.Seed),
		rng:    rand.New(rand.NewPCG(cfg.Seed, 11)),
		byAddr: make(map[packet.AgentID]netip.AddrPort),
		ledger: newRequestLedger(),
	}
	w.net.Faults = fake.Faults{MinDelay: 500 * time.Microsecond, MaxDelay: 4 * time.Millisecond, Loss: 0.005, Duplication: 0.005}
	if v == storePermits {
		w.store = newRequestStore(w)
	}
	for range requestAgents {
		w.addAgent(true)
	}
	w.callers = newRequestCallers(w)
	w.net.Every(netip.AddrPort{}, deathInterval, w.killAgent)
	w.net.Every(netip.AddrPort{}, pauseInterval, w.pauseAgent)
	w.net.Every(netip.AddrPort{}, requestStep, w.sample)
	return w
}

// send sends a message between agents, or between an agent and the store. A small share of
// them is delayed by up to maxExtraDelay.
func (w *requestWorld) send(from, to netip.AddrPort, m any) {
	if w.rng.Float64() < delayedShare {
		late := time.Duration(w.rng.Int64N(int64(maxExtraDelay)))
		w.net.After(netip.AddrPort{}, late, func() { w.net.Send(from, to, m) })
		return
	}
	w.net.Send(from, to, m)
}

// sendTCP sends a message between a caller and an agent over TCP: a packet loss delays it,
// the receiver drops duplicates, and in rare cases the connection breaks without either
// side detecting it.
func (w *requestWorld) sendTCP(from, to netip.AddrPort, m any) {
	faults := w.net.Faults
	w.net.Faults.Loss = lostShare
	defer func() { w.net.Faults = faults }()
	if w.rng.Float64() < faults.Loss {
		w.net.After(netip.AddrPort{}, retransmitDelay, func() { w.net.Send(from, to, m) })
		return
	}
	w.net.Send(from, to, m)
}

// addAgent starts an agent. The first agents of a run are ready and know each other.
func (w *requestWorld) addAgent(first bool) *requestAgent {
	w.agentCount++
	a := newRequestAgent(w, w.agentCount, first)
	w.byAddr[a.self.ID] = a.addr
	w.net.Attach(a.addr, a.domain, a.receive)
	w.agents = append(w.agents, a)
	w.members = append(w.members, request.Member{ID: a.self.ID, Incarnation: a.self.Incarnation, FailureDomain: a.domain, Registrar: first})
	if first {
		for _, other := range w.agents {
			other.adoptMembers(w.members)
		}
	} else {
		w.publish()
		a.adoptMembers(w.members)
	}
	w.net.Every(a.addr, requestStep, a.step)
	return a
}

// publish sends the membership to every agent, to each after its own random delay.
func (w *requestWorld) publish() {
	members := append([]request.Member(nil), w.members...)
	version := w.nextVersion()
	for _, a := range w.agents {
		w.net.After(a.addr, time.Duration(w.rng.Int64N(int64(membershipDelay))), func() { a.receiveMembers(version, members) })
	}
}

func (w *requestWorld) nextVersion() int {
	w.ledger.membershipVersion++
	return w.ledger.membershipVersion
}

// editMember edits a member's record, or removes it if edit returns false, and publishes the
// membership.
func (w *requestWorld) editMember(id packet.AgentID, edit func(*request.Member) bool) {
	for i := range w.members {
		if w.members[i].ID != id {
			continue
		}
		if !edit(&w.members[i]) {
			w.members = append(w.members[:i:i], w.members[i+1:]...)
		}
		w.publish()
		return
	}
}

// killAgent ends a random agent with its upstream. A new VM replaces it after replaceDelay.
func (w *requestWorld) killAgent() {
	if w.callers.finished() {
		return
	}
	a := w.agents[w.rng.IntN(len(w.agents))]
	w.deaths++
	w.net.Detach(a.addr)
	a.dead = true
	w.lateAnswers += a.lateAnswers()
	w.net.After(netip.AddrPort{}, time.Second, func() { w.stopRouting(a) }) // when the fabric's health check fails
	w.net.After(netip.AddrPort{}, detectionDelay, func() {
		w.editMember(a.self.ID, func(*request.Member) bool { return false })
	})
	w.net.After(netip.AddrPort{}, replaceDelay, func() { w.addAgent(false) })
}

// stopRouting stops routing callers to an agent.
func (w *requestWorld) stopRouting(a *requestAgent) {
	for i, other := range w.agents {
		if other == a {
			w.agents = append(w.agents[:i:i], w.agents[i+1:]...)
			return
		}
	}
}

// pauseAgent pauses a random agent, in some cases for so long that the others mark it as
// failed.
func (w *requestWorld) pauseAgent() {
	a := w.agents[w.rng.IntN(len(w.agents))]
	if a.dead || a.paused || !a.ready {
		return
	}
	a.paused = true
	length := time.Duration(w.rng.Int64N(int64(maxPause)))
	if length > detectionDelay {
		w.net.After(a.addr, detectionDelay, func() {
			w.editMember(a.self.ID, func(*request.Member) bool { return false })
		})
	}
	w.net.After(a.addr, length, func() {
		a.resume()
		if length > detectionDelay {
			w.net.After(a.addr, time.Second, func() { w.rejoin(a) })
		}
	})
}

// rejoin adds an agent to the membership again that was marked as failed although it runs.
func (w *requestWorld) rejoin(a *requestAgent) {
	a.rejoins++
	w.members = append(w.members, request.Member{ID: a.self.ID, Incarnation: a.self.Incarnation, FailureDomain: a.domain, Registrar: true, Version: a.rejoins})
	w.publish()
}

func (w *requestWorld) sample() {
	for _, a := range w.agents {
		w.ledger.sample(a)
	}
}

func requestAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 7000)
}

func requestDomain(n int) string { return fmt.Sprintf("domain-%d", n%requestDomains) }
