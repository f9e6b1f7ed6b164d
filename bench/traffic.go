package bench

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

const (
	wheelSize          = 256 // in ticks; longer than maxPacketInterval
	meanPacketInterval = 4 * time.Second
	maxPacketInterval  = 20 * time.Second // below idleUDP
	rampUp             = 20 * time.Second // time over which the first flows are opened

	shareUDP      = 0.10
	shareV6       = 0.30
	shareRetry    = 0.05 // TCP flows whose SYN reply is lost; the SYN is retransmitted after 1 s and 3 s
	shareLong     = 0.20 // flows that last 30 s to 150 s; the others last 30 s on average
	shareWholeRun = 0.0005
)

// actionKind is the kind of a scheduled action of a client.
type actionKind uint8

const (
	actionOpen actionKind = iota
	actionRetry
	actionData
)

// action is a scheduled action of a client. It is skipped if the client's generation has
// changed.
type action struct {
	index      uint32
	generation uint32
	kind       actionKind
}

// client has at most one open flow; generation is the number of the flow.
type client struct {
	key        packet.Key
	service    int
	generation uint32
	owner      packet.AgentID // agent that delivered the flow's first packet
	ownerCount int            // number of agents that own the flow
	end        time.Duration
	v6, open   bool
}

// startClients starts as many clients as are needed for the configured load.
func (w *world) startClients() {
	sizes := [...]int{w.cfg.Upstreams, otherUpstreams}
	for service, n := range sizes {
		for range int(float64(n) * connections * load) {
			w.clients = append(w.clients, client{service: service})
			w.schedule(len(w.clients)-1, actionOpen, time.Duration(w.flowRand.Int64N(int64(rampUp))))
		}
	}
}

func (w *world) schedule(index int, kind actionKind, after time.Duration) {
	after = max(after, tick)
	if after >= wheelSize*tick {
		panic(fmt.Sprintf("bench: action due after %v exceeds the range of the timer wheel", after))
	}
	i := int((w.now+after)/tick) % wheelSize
	w.wheel[i] = append(w.wheel[i], action{index: uint32(index), generation: w.clients[index].generation, kind: kind})
}

// sendPackets performs the actions of the current tick.
func (w *world) sendPackets() {
	i := int(w.now/tick) % wheelSize
	list := w.wheel[i]
	w.wheel[i] = nil
	for _, d := range list {
		c := &w.clients[d.index]
		if c.generation != d.generation {
			continue
		}
		switch d.kind {
		case actionOpen:
			w.open(int(d.index), c)
		case actionRetry:
			w.sendFirst(int(d.index), c)
		case actionData:
			w.sendData(int(d.index), c)
		}
	}
	w.wheel[i] = append(list[:0], w.wheel[i]...)
}

// open starts a client's next flow.
func (w *world) open(index int, c *client) {
	c.generation++
	c.owner, c.ownerCount, c.open = 0, 0, true
	c.v6 = w.flowRand.Float64() < shareV6
	proto := uint8(packet.ProtoTCP)
	if w.flowRand.Float64() < shareUDP {
		proto = packet.ProtoUDP
	}
	src := netip.AddrPortFrom(clientAddr(index, c.v6), uint16(c.generation))
	dst := netip.AddrPortFrom(serviceAddr(c.service, c.v6), 443)
	c.key = packet.KeyOf(src, dst, proto)
	c.end = w.now + w.lifetime()
	w.count.flowOpened(w)
	w.sendFirst(index, c)
	if !c.open {
		return
	}
	if proto == packet.ProtoTCP && w.flowRand.Float64() < shareRetry {
		w.schedule(index, actionRetry, time.Second)
		w.schedule(index, actionRetry, 3*time.Second)
		w.schedule(index, actionData, 3*time.Second+tick)
		return
	}
	w.schedule(index, actionData, tick)
}

func (w *world) lifetime() time.Duration {
	r := w.flowRand.Float64()
	switch {
	case r < shareWholeRun:
		return 24 * time.Hour
	case r < shareWholeRun+shareLong:
		return 30*time.Second + time.Duration(w.flowRand.Int64N(int64(120*time.Second)))
	}
	return time.Duration(w.flowRand.ExpFloat64() * float64(30*time.Second))
}

func (w *world) sendFirst(index int, c *client) {
	w.sendPacket(index, c, &packet.Info{Key: c.key, V6: c.v6, First: true, Flags: packet.FlagSYN})
}

// sendData sends the flow's next packet. The last packet of a TCP flow has the FIN flag.
func (w *world) sendData(index int, c *client) {
	in := packet.Info{Key: c.key, V6: c.v6, Flags: packet.FlagACK}
	last := w.now >= c.end
	if c.key.Proto == packet.ProtoUDP {
		in.First, in.Flags = true, 0
	} else if last {
		in.FIN, in.Flags = true, packet.FlagACK|packet.FlagFIN
	}
	generation := c.generation
	w.sendPacket(index, c, &in)
	if c.generation != generation || !c.open {
		return
	}
	if last {
		w.close(index, c)
		return
	}
	interval := time.Duration(w.flowRand.ExpFloat64() * float64(meanPacketInterval))
	w.schedule(index, actionData, min(interval, maxPacketInterval))
}

// close ends a client's flow and schedules its next one within a second.
func (w *world) close(index int, c *client) {
	if u := w.byID[c.owner]; u != nil {
		u.openFlows--
	}
	c.open = false
	w.schedule(index, actionOpen, time.Duration(w.flowRand.Int64N(int64(time.Second))))
}

// sendPacket routes a packet through a random balancer and follows it from agent to agent until
// one delivers or drops it.
func (w *world) sendPacket(index int, c *client, in *packet.Info) {
	w.count.packetSent(w)
	b := w.randomBalancer(w.flowRand)
	d := b.router.Route(w.now, in)
	if !d.OK {
		w.packetFailed(index, c, d.Reason)
		return
	}
	h := packet.Header{Kind: packet.KindData, Service: d.Service, Origin: b.addr}
	id, visited := d.Agent, 0
	for {
		visited++
		if visited > packet.MaxHops+1 {
			panic(fmt.Sprintf("bench: packet of %v visited %d agents", c.key.Source(), visited))
		}
		u := w.byID[id]
		if u == nil {
			w.packetFailed(index, c, flow.ReasonNoUpstream)
			return
		}
		a := u.agent.Receive(w.now, &h, in)
		if a.Kind == flow.Forward {
			id = a.To
			continue
		}
		if a.Kind == flow.Drop {
			w.packetFailed(index, c, a.Reason)
			return
		}
		w.packetDelivered(index, c, u, visited > 1)
		if a.Hint {
			w.sendHint(b.addr, u, c)
			for _, addr := range a.ExtraHints {
				w.sendHint(addr, u, c)
			}
		}
		return
	}
}

// sendHint sends a hint to the balancer with the given address, if it still runs.
func (w *world) sendHint(addr netip.AddrPort, u *upstream, c *client) {
	u.addControl(hintSize(&c.key))
	if w.dropMessage() {
		return
	}
	for _, b := range w.balancers {
		if b.addr == addr {
			b.router.Learn(w.now, &c.key, u.ID)
		}
	}
}

func (w *world) packetDelivered(index int, c *client, u *upstream, detoured bool) {
	w.count.packetDelivered(w, detoured)
	if u.service != c.service {
		w.count.wrongService++
	}
	if c.owner == 0 {
		c.owner = u.ID
		u.openFlows++
		return
	}
	if c.owner != u.ID {
		w.breakFlow(index, c)
	}
}

// packetFailed handles a packet that no upstream received. A flow without an owner counts as
// refused, one with an owner as broken.
func (w *world) packetFailed(index int, c *client, _ flow.Reason) {
	if c.owner == 0 {
		w.count.refused++
		w.close(index, c)
		return
	}
	w.breakFlow(index, c)
}

func (w *world) breakFlow(index int, c *client) {
	w.count.flowBroken(w)
	w.close(index, c)
}

// FlowTaken implements flow.Observer. It records flows that a second agent owns at the same
// time.
func (w *world) FlowTaken(_ packet.AgentID, k *packet.Key) {
	c := w.clientOf(k)
	if c == nil {
		return
	}
	c.ownerCount++
	if c.ownerCount > 1 {
		w.count.twoOwners++
	}
}

// FlowEnded implements flow.Observer. It records that an agent no longer owns a flow.
func (w *world) FlowEnded(_ packet.AgentID, k *packet.Key) {
	if c := w.clientOf(k); c != nil {
		c.ownerCount--
	}
}

// clientOf returns the client whose current flow has the key, or nil.
func (w *world) clientOf(k *packet.Key) *client {
	index := int(k.Src[13])<<16 | int(k.Src[14])<<8 | int(k.Src[15])
	if index >= len(w.clients) || w.clients[index].key != *k {
		return nil
	}
	return &w.clients[index]
}
