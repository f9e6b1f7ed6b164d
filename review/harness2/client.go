package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/platform"
)

const openLimit = 1400 * time.Millisecond

var synTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// client is a stand-in for a client machine.
type client struct {
	f    *fleet
	zone string
	addr netip.Addr
	udp  *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[packet.Key]*clientFlow
}

type received struct {
	packet.Info
	from   netip.Addr
	system bool // a reset of the system's own
}

type clientFlow struct {
	c        *client
	key      packet.Key
	in       chan received
	seq, ack uint32
	reset    bool
}

func startClient(f *fleet, zone string, n int) (*client, error) {
	addr := f.address(netClient, n)
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, datagramPort)))
	if err != nil {
		return nil, err
	}
	c := &client{f: f, zone: zone, addr: addr, udp: udp, port: 2000, flows: map[packet.Key]*clientFlow{}}
	go c.read()
	return c, nil
}

func (c *client) read() {
	b := make([]byte, platform.MaxPacketSize)
	for {
		n, from, err := c.udp.ReadFromUDPAddrPort(b)
		select {
		case <-c.f.done:
			return
		default:
		}
		if err != nil {
			continue
		}
		var in packet.Info
		system := false
		if (platform.Packets{}).Parse(b[:n], &in) != nil {
			c.f.rec.breaks("MIXED: a client got bytes that are no packet")
			continue
		}
		if system = in.RST && platform.Sum(b[:n]) == 0; !system && !sumValid(b[:n]) {
			c.f.rec.breaks("MIXED: a client got a packet that its sender did not write so")
			continue
		}
		in.Payload = append([]byte(nil), in.Payload...)
		c.mu.Lock()
		flow := c.flows[in.Key.Reverse()]
		c.mu.Unlock()
		if flow != nil {
			select {
			case flow.in <- received{Info: in, from: from.Addr().Unmap(), system: system}:
			default:
			}
		}
	}
}

func (f *clientFlow) send(flags uint8, seq uint32, data []byte) {
	s := platform.Segment{Key: f.key, Flags: flags, Seq: seq, Ack: f.ack, Data: data}
	f.c.f.route(f.c.zone, build(s), f.key)
}

// open opens a flow, or returns nil.
func (c *client) open(to netip.AddrPort) *clientFlow {
	c.mu.Lock()
	c.port++
	f := &clientFlow{c: c, key: packet.KeyOf(netip.AddrPortFrom(c.addr, c.port), to, packet.ProtoTCP), in: make(chan received, 64), seq: rand.Uint32()}
	c.flows[f.key] = f
	c.mu.Unlock()
	begun := time.Now()
	for copies := 0; ; {
		wait := time.Until(begun.Add(openLimit))
		if copies < len(synTimes) {
			wait = time.Until(begun.Add(synTimes[copies]))
		}
		select {
		case in := <-f.in:
			switch {
			case in.RST:
				return nil
			case in.Flags&packet.FlagSYN != 0 && in.Ack == f.seq+1:
				f.seq, f.ack = in.Ack, in.Seq+1
				f.send(packet.FlagACK, f.seq, nil)
				return f
			}
		case <-time.After(wait):
			if copies == len(synTimes) {
				return nil
			}
			f.ack = uint32(copies)
			f.send(packet.FlagSYN, f.seq, nil)
			copies++
		}
	}
}

// request sends a request on the flow and waits for its answer until the limit.
func (f *clientFlow) request(id string, limit time.Duration) string {
	f.c.f.rec.write("sent %s on %s", id, name(f.key))
	result := f.exchange(id, limit)
	f.c.f.rec.write("outcome of %s: %s", id, result)
	return result
}

func (f *clientFlow) exchange(id string, limit time.Duration) string {
	deadline := time.After(limit)
	text := []byte(requestFor(id))
	for wait := firstRetransmit; ; wait = min(2*wait, maxRetransmit) {
		f.send(packet.FlagACK, f.seq, text)
		again := time.After(wait)
		for waiting := true; waiting; {
			select {
			case in := <-f.in:
				switch {
				case in.RST:
					f.reset = true
					if in.system {
						f.c.f.watch.reset(f.key, in.from)
					}
					return "reset"
				case len(in.Payload) > 0 && in.Seq == f.ack:
					if string(in.Payload) != answerFor(id) {
						f.c.f.rec.breaks("MIXED: the answer to %s is another one", id)
					}
					f.seq += uint32(len(text))
					f.ack += uint32(len(in.Payload))
					f.send(packet.FlagACK, f.seq, nil)
					return "answered"
				default: // a copy of an earlier answer
					f.send(packet.FlagACK, f.seq, nil)
				}
			case <-again:
				waiting = false
			case <-deadline:
				return "no answer"
			}
		}
	}
}

func name(k packet.Key) string { return fmt.Sprintf("%s>%s", k.Source(), k.Destination()) }
