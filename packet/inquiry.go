package packet

import (
	"encoding/binary"
	"net/netip"
)

// FlowStatus is an agent's answer about one flow of an inquiry.
type FlowStatus uint8

const (
	// NotHeld means that the agent's upstream, as far as the agent knows, does not hold the
	// flow.
	NotHeld FlowStatus = iota
	// Held means that the agent's upstream holds the flow: the flow is in the agent's table,
	// or the upstream has not returned its packet.
	Held
	// MaybeHeld means that the upstream may hold the flow: the agent does not know all of
	// its upstream's flows yet.
	MaybeHeld
)

// A FlowStatus also holds the number of packets of the flow that the upstream was shown as probes, in the
// bits from probesShift on; Held has none. Earlier versions read a status with probes as MaybeHeld.
const (
	probesShift = 2
	maxProbes   = 3
)

// WithProbes returns the status, which must be without probes, with a number of probes, at most 3.
func (s FlowStatus) WithProbes(n uint8) FlowStatus {
	return s | FlowStatus(min(n, maxProbes)<<probesShift)
}

// Split returns the status without its number of probes, and the number.
func (s FlowStatus) Split() (FlowStatus, uint8) {
	return s & (1<<probesShift - 1), uint8(s >> probesShift)
}

func (s FlowStatus) defined() bool {
	base, probes := s.Split()
	return base <= MaybeHeld && probes <= maxProbes && (base != Held || probes == 0)
}

const (
	// MaxInquiryFlows is the maximum number of flows in an inquiry. An inquiry of that many
	// flows fits into one Ethernet frame.
	MaxInquiryFlows = 128
	// MaxInquirySize and MaxAnswerSize are the maximum datagram lengths in bytes.
	MaxInquirySize = shortHeaderSize + inquiryFixedSize + 8*MaxInquiryFlows + replyToSize
	MaxAnswerSize  = shortHeaderSize + answerFixedSize + MaxInquiryFlows + agentIDSize*maxAnswerPeers

	inquiryFixedSize = agentIDSize + 4 + 8 + 2 // sender, number, checksum of the peers, count of flows
	answerFixedSize  = agentIDSize + 4 + 2 + 2 // sender, number, count of flows, count of peers
	replyToSize      = 16 + 2                  // IPv6 or IPv4-mapped address, port
	// maxAnswerPeers is the maximum number of peers listed in an answer.
	maxAnswerPeers = 1024
)

// Inquiry asks an agent whether its upstream holds flows.
type Inquiry struct {
	From   AgentID
	Number uint32   // copied into the answer
	Peers  uint64   // checksum of the set of upstreams that the sender knows
	Flows  []uint64 // hashes of the flow keys
	// ReplyTo is the sender's data address, for a receiver that does not know the sender; invalid if the
	// sender is of an earlier version.
	ReplyTo netip.AddrPort
}

// InquiryAnswer is the response to an Inquiry.
type InquiryAnswer struct {
	From     AgentID
	Number   uint32
	Statuses []FlowStatus // one for each of the inquiry's flows, in the same order
	// Peers lists the upstreams that the sender knows, at most 1024 of them. It is set
	// only when their checksum differs from the inquiry's.
	Peers []AgentID
}

func putShortHeader(b []byte, kind Kind, service ServiceID) {
	b[0], b[1], b[2], b[3] = headerVersion, uint8(kind), 0, 0
	binary.BigEndian.PutUint64(b[4:], uint64(service))
}

// AppendInquiry appends the datagram of an inquiry to dst and returns it.
func AppendInquiry(dst []byte, service ServiceID, q *Inquiry) []byte {
	var head [shortHeaderSize + inquiryFixedSize]byte
	putShortHeader(head[:], KindInquiry, service)
	b := head[shortHeaderSize:]
	binary.BigEndian.PutUint32(b, uint32(q.From))
	binary.BigEndian.PutUint32(b[4:], q.Number)
	binary.BigEndian.PutUint64(b[8:], q.Peers)
	flows := q.Flows[:min(len(q.Flows), MaxInquiryFlows)]
	binary.BigEndian.PutUint16(b[16:], uint16(len(flows)))
	dst = append(dst, head[:]...)
	for _, hash := range flows {
		dst = binary.BigEndian.AppendUint64(dst, hash)
	}
	if q.ReplyTo.IsValid() {
		addr := q.ReplyTo.Addr().As16()
		dst = append(dst, addr[:]...)
		dst = binary.BigEndian.AppendUint16(dst, q.ReplyTo.Port())
	}
	return dst
}

// ReadInquiry decodes the bytes that follow the header of an inquiry. The error is
// ErrTruncated when they are too short and ErrLength for more flows than MaxInquiryFlows.
func ReadInquiry(b []byte) (Inquiry, error) {
	if len(b) < inquiryFixedSize {
		return Inquiry{}, ErrTruncated
	}
	q := Inquiry{
		From:   AgentID(binary.BigEndian.Uint32(b)),
		Number: binary.BigEndian.Uint32(b[4:]),
		Peers:  binary.BigEndian.Uint64(b[8:]),
	}
	n := int(binary.BigEndian.Uint16(b[16:]))
	b = b[inquiryFixedSize:]
	if n > MaxInquiryFlows {
		return Inquiry{}, ErrLength
	}
	if len(b) < 8*n {
		return Inquiry{}, ErrTruncated
	}
	q.Flows = make([]uint64, n)
	for i := range q.Flows {
		q.Flows[i] = binary.BigEndian.Uint64(b[8*i:])
	}
	if b = b[8*n:]; len(b) >= replyToSize {
		q.ReplyTo = netip.AddrPortFrom(netip.AddrFrom16([16]byte(b)).Unmap(), binary.BigEndian.Uint16(b[16:]))
	}
	return q, nil
}

// AppendAnswer appends the datagram of an answer to dst and returns it.
func AppendAnswer(dst []byte, service ServiceID, a *InquiryAnswer) []byte {
	var head [shortHeaderSize + answerFixedSize]byte
	putShortHeader(head[:], KindAnswer, service)
	b := head[shortHeaderSize:]
	binary.BigEndian.PutUint32(b, uint32(a.From))
	binary.BigEndian.PutUint32(b[4:], a.Number)
	statuses := a.Statuses[:min(len(a.Statuses), MaxInquiryFlows)]
	peers := a.Peers[:min(len(a.Peers), maxAnswerPeers)]
	binary.BigEndian.PutUint16(b[8:], uint16(len(statuses)))
	binary.BigEndian.PutUint16(b[10:], uint16(len(peers)))
	dst = append(dst, head[:]...)
	for _, s := range statuses {
		dst = append(dst, uint8(s))
	}
	for _, id := range peers {
		dst = binary.BigEndian.AppendUint32(dst, uint32(id))
	}
	return dst
}

// ReadAnswer decodes the bytes that follow the header of an answer. The error is
// ErrTruncated when they are too short and ErrLength for more flows or peers than an
// answer may have. A status that is not defined in this version is read as MaybeHeld.
func ReadAnswer(b []byte) (InquiryAnswer, error) {
	if len(b) < answerFixedSize {
		return InquiryAnswer{}, ErrTruncated
	}
	a := InquiryAnswer{From: AgentID(binary.BigEndian.Uint32(b)), Number: binary.BigEndian.Uint32(b[4:])}
	flows, peers := int(binary.BigEndian.Uint16(b[8:])), int(binary.BigEndian.Uint16(b[10:]))
	b = b[answerFixedSize:]
	if flows > MaxInquiryFlows || peers > maxAnswerPeers {
		return InquiryAnswer{}, ErrLength
	}
	if len(b) < flows+agentIDSize*peers {
		return InquiryAnswer{}, ErrTruncated
	}
	a.Statuses = make([]FlowStatus, flows)
	for i := range a.Statuses {
		a.Statuses[i] = FlowStatus(b[i])
		if !a.Statuses[i].defined() {
			a.Statuses[i] = MaybeHeld
		}
	}
	b = b[flows:]
	for i := range peers {
		a.Peers = append(a.Peers, AgentID(binary.BigEndian.Uint32(b[agentIDSize*i:])))
	}
	return a, nil
}
