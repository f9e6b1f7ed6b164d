package packet

import "encoding/binary"

// Standing is an agent's answer about one flow of an inquiry.
type Standing uint8

const (
	// NotHeld means that the agent's upstream does not hold the flow.
	NotHeld Standing = iota
	// Held means that the agent's upstream holds the flow.
	Held
	// Unsure means that the upstream may hold the flow: the agent does not know all of
	// its upstream's flows yet.
	Unsure
)

const (
	// MaxInquiry is the maximum number of flows in an inquiry. An inquiry of that many
	// flows fits into one Ethernet frame.
	MaxInquiry = 128
	// MaxInquirySize and MaxAnswerSize are the maximum datagram lengths in bytes.
	MaxInquirySize = shortHeaderSize + inquiryFixedSize + 8*MaxInquiry
	MaxAnswerSize  = shortHeaderSize + answerFixedSize + MaxInquiry + agentIDSize*maxAnswerPeers

	inquiryFixedSize = agentIDSize + 4 + 8 + 2 // sender, number, sum of the peers, count of flows
	answerFixedSize  = agentIDSize + 4 + 2 + 2 // sender, number, count of flows, count of peers
	// maxAnswerPeers is the maximum number of peers listed in an answer.
	maxAnswerPeers = 1024
)

// Inquiry asks an agent whether its upstream holds flows.
type Inquiry struct {
	From   AgentID
	Number uint32   // copied into the answer
	Peers  uint64   // checksum of the set of upstreams that the sender knows
	Flows  []uint64 // hashes of the flow keys
}

// InquiryAnswer is the response to an Inquiry.
type InquiryAnswer struct {
	From      AgentID
	Number    uint32
	Standings []Standing // one for each of the inquiry's flows, in the same order
	// Peers lists the upstreams that the sender knows, at most 1024 of them. It is set
	// only when their sum differs from the inquiry's.
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
	flows := q.Flows[:min(len(q.Flows), MaxInquiry)]
	binary.BigEndian.PutUint16(b[16:], uint16(len(flows)))
	dst = append(dst, head[:]...)
	for _, hash := range flows {
		dst = binary.BigEndian.AppendUint64(dst, hash)
	}
	return dst
}

// ReadInquiry decodes the bytes that follow the header of an inquiry. The error is
// ErrTruncated when they are too short and ErrLength for more flows than MaxInquiry.
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
	if n > MaxInquiry {
		return Inquiry{}, ErrLength
	}
	if len(b) < 8*n {
		return Inquiry{}, ErrTruncated
	}
	q.Flows = make([]uint64, n)
	for i := range q.Flows {
		q.Flows[i] = binary.BigEndian.Uint64(b[8*i:])
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
	standings := a.Standings[:min(len(a.Standings), MaxInquiry)]
	peers := a.Peers[:min(len(a.Peers), maxAnswerPeers)]
	binary.BigEndian.PutUint16(b[8:], uint16(len(standings)))
	binary.BigEndian.PutUint16(b[10:], uint16(len(peers)))
	dst = append(dst, head[:]...)
	for _, s := range standings {
		dst = append(dst, uint8(s))
	}
	for _, id := range peers {
		dst = binary.BigEndian.AppendUint32(dst, uint32(id))
	}
	return dst
}

// ReadAnswer decodes the bytes that follow the header of an answer. The error is
// ErrTruncated when they are too short and ErrLength for more flows or peers than an
// answer may have. A standing that is not defined in this version is read as Unsure.
func ReadAnswer(b []byte) (InquiryAnswer, error) {
	if len(b) < answerFixedSize {
		return InquiryAnswer{}, ErrTruncated
	}
	a := InquiryAnswer{From: AgentID(binary.BigEndian.Uint32(b)), Number: binary.BigEndian.Uint32(b[4:])}
	flows, peers := int(binary.BigEndian.Uint16(b[8:])), int(binary.BigEndian.Uint16(b[10:]))
	b = b[answerFixedSize:]
	if flows > MaxInquiry || peers > maxAnswerPeers {
		return InquiryAnswer{}, ErrLength
	}
	if len(b) < flows+agentIDSize*peers {
		return InquiryAnswer{}, ErrTruncated
	}
	a.Standings = make([]Standing, flows)
	for i := range a.Standings {
		a.Standings[i] = min(Standing(b[i]), Unsure)
	}
	b = b[flows:]
	for i := range peers {
		a.Peers = append(a.Peers, AgentID(binary.BigEndian.Uint32(b[agentIDSize*i:])))
	}
	return a, nil
}
