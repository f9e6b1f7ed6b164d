package flow

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Clients and upstreams of shapes with closes end their flows as the platform's page says: each end sends a FIN and
// repeats it until it is acknowledged. An upstream answers a FIN on an ended flow with an acknowledgement, and data
// with a reset of its own.

const (
	fleetRetransmissions = 8 // after which an upstream gives up
	fleetResetWindow     = 76800
	fleetFINAcked        = 1 // added to the acknowledgement numbers of a client that has received a FIN
)

var (
	fleetClosing = func() fleetShape {
		s := fleetTroubled
		s.name, s.closes, s.defaultSeeds = "closing", true, 20
		return s
	}()
	// fleetReusing is longer than a flow may live, so that ports are used again after that time too.
	fleetReusing = func() fleetShape {
		s := fleetClosing
		s.name, s.length, s.reusesPorts = "reusing", 80*time.Second, true
		return s
	}()
	fleetClosingHeldBack = func() fleetShape {
		s := fleetHeldBack
		s.name, s.closes, s.defaultSeeds = "closing, held back", true, 20
		return s
	}()
)

// refusesSYN reports whether the upstream cannot accept a SYN: it holds as many flows as it can, or an open one with
// the same addresses and ports.
func (s *fleetUpstream) refusesSYN(p *fleetPacket, fl *upstreamFlow) bool {
	if fl != nil && !fl.ended {
		return fl.open && fl.synSeq != p.in.Seq
	}
	n := 0
	for _, other := range s.flows {
		if !other.ended {
			n++
		}
	}
	return n >= 2*len(s.f.clients)/len(s.f.agents)+2
}

// receiveHeld handles a packet of a flow that the upstream holds or has held.
func (s *fleetUpstream) receiveHeld(p fleetPacket, fl *upstreamFlow) {
	fl.finAcked = fl.finAcked || fl.finSent && (p.in.Ack-fl.cookie)%uint32(len(fleetPayload)) == fleetFINAcked
	ack := packet.Info{Flags: packet.FlagACK, Seq: fl.cookie, Ack: p.in.Seq}
	switch {
	case fl.ended && p.in.FIN:
		s.reply(p.flow, ack, 0)
		return
	case fl.ended && len(p.in.Payload) > 0:
		s.f.trace(p.flow, "    %s resets the flow that has ended", s.name)
		s.reply(p.flow, packet.Info{RST: true, Flags: packet.FlagRST, Seq: p.in.Ack}, 0)
		return
	case fl.ended:
		return
	}
	if !fl.open {
		fl.open = true
		s.f.oracle.opened(p.flow, s)
	}
	s.f.oracle.delivered(p.flow, s)
	work := s.f.between(2*time.Millisecond, 40*time.Millisecond)
	switch {
	case p.in.FIN:
		s.reply(p.flow, ack, 0)
		if fl.clientFIN = true; s.f.chance(0.2) {
			work = s.f.between(work, 2*time.Second) // the response is late
		}
		s.endIfClosed(p.flow, fl)
		s.later(work+time.Millisecond, queueData, func() { s.sendFIN(p.flow, fl, 0) })
	case len(p.in.Payload) == 0:
	case fl.finSent:
		s.reply(p.flow, ack, 0)
	default:
		ack.Payload = fleetPayload
		s.reply(p.flow, ack, work)
		if s.draining {
			s.later(work+time.Millisecond, queueData, func() { s.sendFIN(p.flow, fl, 0) })
		}
	}
}

// sendFIN sends the upstream's FIN, and again until it is acknowledged. try is the number of retransmissions so far.
func (s *fleetUpstream) sendFIN(c *clientFlow, fl *upstreamFlow, try int) {
	if s.flows[c.key] != fl || fl.finAcked || try == 0 && fl.finSent {
		return
	}
	if try > fleetRetransmissions {
		s.end(c, fl)
		return
	}
	fl.finSent = true
	s.endIfClosed(c, fl)
	s.reply(c, packet.Info{Flags: packet.FlagACK | packet.FlagFIN, FIN: true, Seq: fl.cookie}, 0)
	s.later(min(200*time.Millisecond<<try, fleetMaxRetry), queueData, func() { s.sendFIN(c, fl, try+1) })
}

func (s *fleetUpstream) endIfClosed(c *clientFlow, fl *upstreamFlow) {
	if fl.clientFIN && fl.finSent {
		s.end(c, fl)
	}
}

func (s *fleetUpstream) end(c *clientFlow, fl *upstreamFlow) {
	s.f.trace(c, "    the flow has ended at %s", s.name)
	fl.ended, fl.open = true, false
	s.f.oracle.closed(c)
}

// ackNumber is the acknowledgement number of the client's next packet.
func (c *clientFlow) ackNumber() uint32 {
	n := c.cookie + c.received
	if c.finReceived {
		n += fleetFINAcked
	}
	return n
}

// acknowledge sends an acknowledgement alone.
func (c *clientFlow) acknowledge() {
	c.transmit(packet.Info{Key: c.key, Flags: packet.FlagACK, Seq: c.next, Ack: c.ackNumber()})
}

func (c *clientFlow) sendFIN() {
	if c.closed || c.finSent {
		return
	}
	c.finSent = true
	c.sendNew(true)
	c.f.after(c.deadline, func() {
		if !c.closed {
			c.f.oracle.abandoned(c)
			c.close()
		}
	})
}

// receiveClosing handles a packet from an upstream. One that does not belong to the flow is ignored, unless it is a
// reset with a number within the window.
func (c *clientFlow) receiveClosing(s *fleetUpstream, in *packet.Info) {
	switch {
	case in.RST:
		c.receiveUpstreamReset(s, in.Seq)
	case c.cookie == 0 && !c.closed && in.Flags&packet.FlagSYN != 0:
		c.f.trace(c, "the client accepts SYN+ACK %d", in.Seq)
		c.cookie = in.Seq
		c.acknowledge()
		pause := time.Duration(0)
		if c.f.chance(0.3) {
			pause = c.f.between(0, 300*time.Millisecond)
		}
		c.f.after(pause, c.request)
	case in.Flags&packet.FlagSYN != 0 || c.cookie == 0 || in.Seq != c.cookie:
	case c.closed && in.FIN:
		c.acknowledge()
	case c.closed:
	default:
		c.receiveOwn(in)
	}
}

// receiveOwn handles a packet of the flow's upstream, other than a SYN+ACK or a reset.
func (c *clientFlow) receiveOwn(in *packet.Info) {
	before := len(c.unacked)
	c.unacked = slices.DeleteFunc(c.unacked, func(s *sentPacket) bool { return !in.FIN && s.in.Seq == in.Ack })
	answered := before - len(c.unacked)
	c.f.oracle.counts.answered += answered
	if len(in.Payload) > 0 {
		c.received += uint32(answered) * uint32(len(fleetPayload))
	}
	if in.FIN {
		c.finReceived = true
		c.unacked = slices.DeleteFunc(c.unacked, func(s *sentPacket) bool { return !s.in.FIN })
		c.sendFIN()
	}
	if in.FIN || len(in.Payload) > 0 && c.f.chance(0.5) {
		c.acknowledge()
	}
	switch {
	case len(c.unacked) > 0 || before == 0 && !in.FIN:
	case c.finSent && c.finReceived:
		c.close()
	case !c.finSent:
		pause := 800 * time.Millisecond
		if c.idle {
			pause = 12 * time.Second
		}
		c.f.after(c.f.between(10*time.Millisecond, pause), c.request)
	}
}

// ignoresReset reports whether the client ignores a reset with a sequence number: that of an open flow must be close to
// what the client has acknowledged last.
func (c *clientFlow) ignoresReset(seq uint32) bool {
	if !c.f.shape.closes || c.cookie == 0 || seq-c.ackNumber()+fleetResetWindow <= 2*fleetResetWindow {
		return false
	}
	c.f.trace(c, "the client ignores a reset")
	c.f.oracle.counts.ignored++
	return true
}

// receiveUpstreamReset handles a reset that an upstream has sent. It breaks the rule if the flow is open at another.
func (c *clientFlow) receiveUpstreamReset(s *fleetUpstream, seq uint32) {
	o := &c.f.oracle
	foreign := o.isOpen(c) && c.upstream != s
	if c.closed || c.ignoresReset(seq) {
		if !c.closed && foreign {
			o.counts.foreign++
		}
		return
	}
	c.f.trace(c, "the client receives a reset of %s", s.name)
	if foreign {
		if j := o.judge(c.upstream.vm, s.vm, c.taker); j != exempt {
			o.violate(ruleReset, c, j == unplanned, fmt.Sprintf("reset by upstream %s, while its upstream %s lives", s.name, c.upstream.name))
		}
	}
	c.upstream = nil
	c.close()
}

// fleetReuseSame and fleetReuseEarlier are the shares of flows with the key of the client's last flow, and of any
// earlier one.
const (
	fleetReuseSame    = 0.3
	fleetReuseEarlier = 0.3
)

// reusePort gives a flow the key of an earlier one of its client at times.
func (client *fleetClient) reusePort(c *clientFlow) {
	f := c.f
	if client.synSeqs == nil {
		client.synSeqs, client.sameSeqs = map[packet.Key]uint32{}, f.chance(0.3)
	}
	if n := len(client.keys); n > 0 {
		switch r := f.rng.Float64(); {
		case r < fleetReuseSame:
			c.key = client.keys[n-1]
		case r < fleetReuseSame+fleetReuseEarlier:
			c.key = client.keys[f.rng.IntN(n)]
		}
	}
	if !slices.Contains(client.keys, c.key) {
		client.keys = append(client.keys, c.key)
	}
	if !client.sameSeqs {
		client.synSeqs[c.key] += 2 << 20
	}
}

// Guards against resets of open flows beside flows that end, as clients and upstreams of the platform end them.
func TestClosingFleetResetsNoOpenFlow(t *testing.T) { checkFleets(t, &fleetClosing, ruleReset) }

func TestClosingFleetDeniesNoOpenFlow(t *testing.T) { checkFleets(t, &fleetClosing, ruleDenied) }

func TestClosingFleetKeepsFlowsAtTheirUpstream(t *testing.T) {
	checkFleets(t, &fleetClosing, ruleMisdelivered)
}

// Guards against resets of open flows for what is known of earlier ones with the same addresses and ports.
func TestReusingFleetResetsNoOpenFlow(t *testing.T) { checkFleets(t, &fleetReusing, ruleReset) }

func TestReusingFleetDeniesNoOpenFlow(t *testing.T) { checkFleets(t, &fleetReusing, ruleDenied) }

func TestClosingFleetResetsNoOpenFlowForPacketsHeldBack(t *testing.T) {
	checkFleets(t, &fleetClosingHeldBack, ruleReset)
}

func TestClosingFleetDeniesNoOpenFlowForPacketsHeldBack(t *testing.T) {
	checkFleets(t, &fleetClosingHeldBack, ruleDenied)
}
