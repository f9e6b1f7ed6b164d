package standin

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// serverFlow is the server-side state of one flow.
type serverFlow struct {
	state       uint64 // random ID of this state, sent in responses
	isn         uint32
	clientISN   uint32
	sendNext    uint32 // sequence number of the next byte to the client
	receiveNext uint32 // sequence number expected from the client
	lastNumber  uint32
	response    []byte // latest response
	responseSeq uint32 // sequence number of the first byte of response
	requests    int
	logIndex    int // index in the connection log; -1 if not recorded
	closed      bool
	lastSeen    time.Duration
}

func (f *serverFlow) isOpen(now time.Duration, proto uint8) bool {
	if f.closed {
		return false
	}
	return proto == packet.ProtoTCP || now-f.lastSeen <= udpOpenPeriod
}

func (r *Responder) receiveTCP(now time.Duration, in *packet.Info) []byte {
	if in.RST {
		r.removeFlow(now, in.Key)
		return nil
	}
	f := r.flows[in.Key]
	if in.First {
		return r.receiveSYN(now, in, f)
	}
	if f == nil {
		f = r.adopt(now, in)
	}
	if f == nil {
		r.counts.ResetsSent++
		return reply(in, packet.FlagRST|packet.FlagACK, in.Ack, in.Seq+uint32(len(in.Payload)), nil)
	}
	f.lastSeen = now
	if len(in.Payload) > 0 {
		return r.receiveData(in, f)
	}
	if in.FIN {
		return r.receiveFIN(now, in, f)
	}
	return nil
}

// removeFlow removes the state of a flow and records the end of its connection.
func (r *Responder) removeFlow(now time.Duration, k packet.Key) {
	if f := r.flows[k]; f != nil {
		r.connections.close(now, f.logIndex)
		delete(r.flows, k)
	}
}

// receiveSYN opens a flow, or answers a retransmitted SYN. A SYN with a different
// sequence number is a new connection that reuses the ports, and replaces the old
// state.
func (r *Responder) receiveSYN(now time.Duration, in *packet.Info, f *serverFlow) []byte {
	if f == nil || f.closed || f.clientISN != in.Seq {
		r.removeFlow(now, in.Key)
		f = r.newFlow(now, in.Key)
		if f == nil {
			return nil
		}
		f.clientISN, f.receiveNext = in.Seq, in.Seq+1
	}
	return reply(in, packet.FlagSYN|packet.FlagACK, f.isn, in.Seq+1, nil)
}

// adopt returns a new state for a data segment of an unknown flow under FaultAdopt,
// and nil otherwise.
func (r *Responder) adopt(now time.Duration, in *packet.Info) *serverFlow {
	if r.cfg.Fault != FaultAdopt || len(in.Payload) == 0 {
		return nil
	}
	f := r.newFlow(now, in.Key)
	f.receiveNext = in.Seq
	f.sendNext = in.Ack // the client accepts only the next sequence number of the stream
	return f
}

// receiveData runs the request in the next segment of the stream, and answers a
// retransmitted one with the stored response.
func (r *Responder) receiveData(in *packet.Info, f *serverFlow) []byte {
	if in.Seq == f.receiveNext {
		response := r.respond(in, f)
		if response == nil {
			return nil
		}
		f.receiveNext += uint32(len(in.Payload))
		f.response, f.responseSeq = response, f.sendNext
		f.sendNext += uint32(len(response))
	}
	if f.response == nil {
		return nil
	}
	return reply(in, packet.FlagACK|packet.FlagPSH, f.responseSeq, f.receiveNext, f.response)
}

func (r *Responder) receiveFIN(now time.Duration, in *packet.Info, f *serverFlow) []byte {
	if in.Seq != f.receiveNext {
		return nil
	}
	f.closed = true
	r.connections.close(now, f.logIndex)
	return reply(in, packet.FlagFIN|packet.FlagACK, f.sendNext, in.Seq+1, nil)
}

func (r *Responder) receiveUDP(now time.Duration, in *packet.Info) []byte {
	f := r.flows[in.Key]
	if f == nil {
		f = r.newFlow(now, in.Key)
	}
	if f == nil {
		return nil
	}
	f.lastSeen = now
	req, err := decodeRequest(in.Payload)
	if err != nil {
		r.counts.Malformed++
		return nil
	}
	if req.Number != f.lastNumber || f.response == nil {
		f.response = r.respond(in, f)
	}
	if f.response == nil {
		return nil
	}
	back := in.Key.Reverse()
	return packet.AppendUDP(nil, &back, f.response)
}

// respond runs the request in the packet and returns the response, or nil if the
// request is malformed or FaultSilent suppresses the response.
func (r *Responder) respond(in *packet.Info, f *serverFlow) []byte {
	req, err := decodeRequest(in.Payload)
	if err != nil {
		r.counts.Malformed++
		return nil
	}
	if r.cfg.Fault == FaultSilent && f.requests >= faultThreshold {
		return nil
	}
	r.run(req)
	f.lastNumber = req.Number
	f.requests++
	response := encode(&Response{
		Service:  r.service,
		Flow:     req.Flow,
		Number:   req.Number,
		Upstream: r.cfg.Name,
		State:    f.state,
	})
	return r.injectFault(in, f, req, response)
}

func (r *Responder) run(req Request) {
	r.counts.RequestsRun++
	r.ledger.Add(Run{Flow: req.Flow, Number: req.Number})
}

// injectFault injects the configured fault once a flow has had faultThreshold requests,
// including this one, and returns the response to send.
func (r *Responder) injectFault(in *packet.Info, f *serverFlow, req Request, response []byte) []byte {
	previous := r.lastResponse
	r.lastResponse = response
	if f.requests < faultThreshold {
		return response
	}
	switch r.cfg.Fault {
	case FaultForget, FaultAdopt:
		r.removeFlow(f.lastSeen, in.Key)
	case FaultRunTwice:
		r.run(req)
	case FaultCross:
		return previous
	}
	return response
}

// reply returns a TCP packet in the opposite direction of in.
func reply(in *packet.Info, flags uint8, seq, ack uint32, payload []byte) []byte {
	s := packet.TCPSegment{Key: in.Key.Reverse(), Seq: seq, Ack: ack, Flags: flags, Payload: payload}
	return packet.AppendTCP(nil, &s)
}
