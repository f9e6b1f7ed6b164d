package quota

import (
	"cmp"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Kind says what a token stands for.
type Kind uint8

const (
	// Connections tokens are used while a connection is open.
	Connections Kind = iota
	// Rate tokens are used for one second by each new connection.
	Rate
	// Requests tokens are used while a request runs.
	Requests
	kinds
)

var kindNames = [kinds]string{"connections", "new_connections_per_second", "requests"}

// String returns the name of the limit in the plan list.
func (k Kind) String() string {
	if k < kinds {
		return kindNames[k]
	}
	return "unknown"
}

// Account is one limit of one customer at one service.
type Account struct {
	Customer uint64 // hash of the customer's name, as in packet.Header
	Kind     Kind
}

// compareAccounts orders accounts by customer, then by kind.
func compareAccounts(a, b Account) int {
	return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Kind, b.Kind))
}

// groups is the number of parts into which accounts are divided, so that a
// recount of many accounts stops only some of the transfers at a time. It is the
// number of bits of Message.Groups.
const groups = 64

// allGroups has the bits of all groups.
const allGroups = ^uint64(0)

func (a Account) group() uint64 { return 1 << (a.Customer % groups) }

// Party is one process that holds or issues tokens, for one process start.
type Party struct {
	ID          packet.AgentID
	Incarnation uint64
}

// Amount is a number of tokens of one account.
type Amount struct {
	Account Account
	Tokens  int32
}

// MessageKind says what a Message is.
type MessageKind uint8

const (
	// MessageTransfer moves tokens; Seq counts the batches of one channel.
	MessageTransfer MessageKind = 1 + iota
	// MessageTransferAck acknowledges the batch Seq.
	MessageTransferAck
	// MessageAsk asks a peer for tokens; Amounts say how many are wanted.
	MessageAsk
	// MessageRenew asks the grantor to extend the sender's admission lease. Seq
	// numbers the attempt.
	MessageRenew
	// MessageRenewed answers MessageRenew.
	MessageRenewed
	// MessageFreeze starts a recount of Groups; Seq numbers the recount.
	MessageFreeze
	// MessageReport answers MessageFreeze with the holder's tokens of the groups.
	MessageReport
	// MessageRelease ends the recount Seq. With Seq 0 it only tells a holder who
	// the grantor is.
	MessageRelease
	// MessageRecall asks holders to return all free tokens of the accounts in
	// Amounts and to admit nothing on them. Seq numbers the recall.
	MessageRecall
	// MessageRecallEnd ends the recall of the accounts in Amounts.
	MessageRecallEnd
	// MessageRecallAck acknowledges MessageRecall or MessageRecallEnd.
	MessageRecallAck
)

// Message travels between holders, and between holders and the grantor. All
// fields are gob-encodable.
type Message struct {
	Kind     MessageKind
	Service  packet.ServiceID
	From, To Party
	// Term is the grantor's term; 0 between holders.
	Term int64
	Seq  uint64
	// Groups has a bit for each group of accounts that is recounted.
	Groups  uint64
	Amounts []Amount
	// Channels is set in MessageReport only.
	Channels []ChannelReport
}

// EnvelopeSize is the estimated size in bytes of one call between two processes,
// reply included, that carries all messages of one step.
const EnvelopeSize = 64

// Wire sizes in bytes, for the estimate of control traffic: an encoded Message
// without lists, and the entries of its lists.
const (
	wireMessage = 12
	wireAmount  = 11
	wireChannel = 32
)

// WireSize estimates the encoded size of the message in bytes, within an envelope
// that names the service and both parties.
func (m *Message) WireSize() int {
	size := wireMessage + wireAmount*len(m.Amounts)
	for i := range m.Channels {
		size += wireChannel + wireAmount*len(m.Channels[i].Outstanding)
	}
	return size
}

// ChannelReport is what a holder knows of its channels with one peer: the batch
// it has sent and not seen acknowledged, and the last batch it has received.
type ChannelReport struct {
	Peer           Party
	OutstandingSeq uint64
	Outstanding    []Amount
	ReceivedSeq    uint64
}

// Config holds the times and sizes of the protocol. Zero fields take defaults.
type Config struct {
	// AskInterval is the initial time between two asks for the same account.
	// Default 200 ms.
	AskInterval time.Duration
	// MaxAskInterval bounds the doubling of AskInterval. Default 500 ms.
	MaxAskInterval time.Duration
	// AskPeers is the least number of peers asked at first; further attempts ask
	// twice as many. Default 2.
	AskPeers int
	// RetransmitInitial and RetransmitMax bound the retransmission time of
	// transfers, renewals and recalls (IRT and MRT of RFC 8415, section 15).
	// Defaults 300 ms and 2 s.
	RetransmitInitial, RetransmitMax time.Duration
	// FixedRetransmission disables doubling and spread; only for comparison.
	FixedRetransmission bool
	// Lease is how long a renewal lets a holder admit new flows. Default 60 s.
	Lease time.Duration
	// RecountTimeout ends a holder's freeze when no release comes. Default 1 s.
	RecountTimeout time.Duration
	// RecountInterval is the time between two recounts. After each recount in which a
	// holder did not answer the time doubles, up to eight intervals. Default 200 ms.
	RecountInterval time.Duration
	// RecountAccounts bounds the accounts of one recount, and so the size of a
	// report. Default 500.
	RecountAccounts int
	// MaxWait is how long a flow waits for a token before it is refused. Default
	// 3 s; TCP clients repeat their first packet after 1 s and 3 s.
	MaxWait time.Duration
	// MaxWaiting bounds the flows of one customer that wait. Default 64.
	MaxWaiting int
	// BatchAmounts bounds the entries of one batch. Default 200.
	BatchAmounts int
	// GoneAfter is how long a holder may be missing from the membership before its
	// VM counts as gone. Default 10 min.
	GoneAfter time.Duration
	// IdleTime is the time between two returns of tokens that are not in demand.
	// Default 5 s.
	IdleTime time.Duration
	// WaitingTime is how long a peer's ask is remembered, so that a token that
	// becomes free is given at once. Default 3 s.
	WaitingTime time.Duration
}

func (c Config) withDefaults() Config {
	setDuration(&c.AskInterval, 200*time.Millisecond)
	setDuration(&c.MaxAskInterval, 500*time.Millisecond)
	setDuration(&c.RetransmitInitial, 300*time.Millisecond)
	setDuration(&c.RetransmitMax, 2*time.Second)
	setDuration(&c.Lease, time.Minute)
	setDuration(&c.RecountTimeout, time.Second)
	setDuration(&c.MaxWait, 3*time.Second)
	setDuration(&c.RecountInterval, 200*time.Millisecond)
	setDuration(&c.WaitingTime, 3*time.Second)
	setDuration(&c.IdleTime, 5*time.Second)
	setDuration(&c.GoneAfter, 10*time.Minute)
	if c.AskPeers == 0 {
		c.AskPeers = 2
	}
	if c.RecountAccounts == 0 {
		c.RecountAccounts = 500
	}
	if c.MaxWaiting == 0 {
		c.MaxWaiting = 64
	}
	if c.BatchAmounts == 0 {
		c.BatchAmounts = 200
	}
	return c
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
