package quota

import (
	"cmp"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Kind is the kind of limit that a token counts against.
type Kind uint8

const (
	// A Connections token is in use while its connection is open.
	Connections Kind = iota
	// A Rate token is in use for rateTokenDuration, a little over one second, after
	// its connection was admitted.
	Rate
	// A Requests token is in use while its request runs.
	Requests
	kinds
)

var kindNames = [kinds]string{"connections", "new_connections_per_second", "requests"}

// Valid reports whether k is a known kind.
func (k Kind) Valid() bool { return k < kinds }

// String returns the name of the limit in the plan list.
func (k Kind) String() string {
	if k < kinds {
		return kindNames[k]
	}
	return "unknown"
}

// Account identifies one limit of one customer; the service is that of the Holder or
// Grantor. It is not the account in the list of customers, plan.Customer.Account.
type Account struct {
	Customer uint64 // plan.CustomerID of the customer's account, as in packet.Header
	Kind     Kind
}

// compareAccounts orders accounts by customer, then by kind.
func compareAccounts(a, b Account) int {
	return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Kind, b.Kind))
}

// groupCount is the number of groups into which accounts are divided. A recount covers
// some groups at a time and suspends the transfers of these groups only.
// Message.Groups has one bit for each group.
const groupCount = 64

// allGroups has the bits of all groups set.
const allGroups = ^uint64(0)

func (a Account) group() uint64 { return 1 << (a.Customer % groupCount) }

// Party is one incarnation of a process that holds or issues tokens. For a grantor,
// ID is packet.AgentIDOf the balancer's name, and Incarnation is the term.
type Party struct {
	ID          packet.AgentID
	Incarnation uint64
}

// Amount is a number of tokens of one account.
type Amount struct {
	Account Account
	Tokens  int32
}

// MessageKind is the type of a Message.
type MessageKind uint8

const (
	// MessageTransfer transfers tokens; Seq numbers the batches of one channel.
	MessageTransfer MessageKind = 1 + iota
	// MessageTransferAck acknowledges the batch Seq.
	MessageTransferAck
	// MessageTokenRequest requests tokens from a peer; Amounts holds the numbers of
	// tokens requested.
	MessageTokenRequest
	// MessageRenew requests that the grantor extend the sender's admission lease.
	// Seq numbers the attempt.
	MessageRenew
	// MessageRenewed answers MessageRenew.
	MessageRenewed
	// MessageFreeze starts a recount of Groups; Seq numbers the recount.
	MessageFreeze
	// MessageReport answers MessageFreeze with the holder's tokens in these groups.
	MessageReport
	// MessageRelease ends the holder's freeze for the recount Seq. Seq 0 matches no
	// recount: the message then only announces the grantor to the holder.
	MessageRelease
	// MessageRecall instructs holders to return all free tokens of the accounts in
	// Amounts and to admit nothing on these accounts. Seq numbers the recall.
	MessageRecall
	// MessageRecallEnd ends the recall of the accounts in Amounts.
	MessageRecallEnd
	// MessageRecallAck acknowledges MessageRecall or MessageRecallEnd.
	MessageRecallAck
)

// Message is sent between holders, and between holders and the grantor. All fields
// can be encoded with gob.
type Message struct {
	Kind     MessageKind
	Service  packet.ServiceID
	From, To Party
	// Term is the grantor's term; 0 in messages between holders.
	Term int64
	Seq  uint64
	// Groups has a bit for each group of accounts covered by the recount.
	Groups  uint64
	Amounts []Amount
	// Channels is set in MessageReport only.
	Channels []ChannelReport
}

// EnvelopeSize is the estimated size in bytes of one RPC between two processes and
// its reply, without the Messages in them.
const EnvelopeSize = 64

// Sizes in bytes for the estimate of control traffic: an encoded Message without
// lists, and one entry of each list.
const (
	wireMessage = 12
	wireAmount  = 11
	wireChannel = 32
)

// WireSize estimates the encoded size of the message in bytes. The service and both
// parties are part of the envelope and not included.
func (m *Message) WireSize() int {
	size := wireMessage + wireAmount*len(m.Amounts)
	for i := range m.Channels {
		size += wireChannel + wireAmount*len(m.Channels[i].Outstanding)
	}
	return size
}

// ChannelReport is the state of a holder's channels to and from one peer: the batch
// sent but not yet acknowledged, and the sequence number of the last batch
// received.
type ChannelReport struct {
	Peer           Party
	OutstandingSeq uint64
	Outstanding    []Amount
	ReceivedSeq    uint64
}

// Config holds the timeouts, intervals and sizes of the protocol. Zero fields take
// the default.
type Config struct {
	// TokenRequestInterval is the initial interval between two token requests for
	// the same account. Default 200 ms.
	TokenRequestInterval time.Duration
	// MaxTokenRequestInterval is the maximum to which TokenRequestInterval is
	// doubled. Default 500 ms.
	MaxTokenRequestInterval time.Duration
	// TokenRequestPeers is the number of peers contacted by the first attempt to
	// request tokens. Each further attempt contacts as many peers as all earlier
	// ones, but at least a quarter of all peers. Default 2.
	TokenRequestPeers int
	// RetransmitInitial and RetransmitMax are the initial and the maximum
	// retransmission time of transfers, renewals and recalls (IRT and MRT of RFC
	// 8415, section 15). Defaults 300 ms and 2 s.
	RetransmitInitial, RetransmitMax time.Duration
	// FixedRetransmission disables doubling and randomisation of retransmission
	// times; it serves only for comparison.
	FixedRetransmission bool
	// Lease is the duration of the admission lease that a renewal grants. Default
	// 60 s.
	Lease time.Duration
	// RecountTimeout is the time after which a holder ends a freeze that the
	// grantor has not released. The grantor ends a recount after half of it. Default
	// 1 s.
	RecountTimeout time.Duration
	// RecountInterval is the pause after a recount. The pause doubles after each
	// recount in which a holder did not answer, up to eight times RecountInterval.
	// Default 200 ms.
	RecountInterval time.Duration
	// RecountAccounts is the maximum number of accounts in one recount; it bounds
	// the size of a report. Only a single group with more accounts exceeds it. Default 500.
	RecountAccounts int
	// MaxWait is how long a flow waits for a token before it is refused. Default
	// 3 s: a TCP client retransmits its first packet 1 s and 3 s after sending it.
	MaxWait time.Duration
	// MaxWaiting is the maximum number of waiting flows of one customer. Default
	// 64.
	MaxWaiting int
	// BatchAmounts is the maximum number of entries in one batch. Default 200.
	BatchAmounts int
	// GoneAfter is how long a holder may be missing from the membership before its
	// VM is considered gone. Default 10 min.
	GoneAfter time.Duration
	// IdleReturnInterval is the interval at which tokens without demand are
	// transferred to their account's home (see homeScore). Default 5 s.
	IdleReturnInterval time.Duration
	// TokenRequestTTL is how long a peer's unmet token request is kept, so that a
	// token that becomes free is transferred at once. Default 3 s.
	TokenRequestTTL time.Duration
}

func (c Config) withDefaults() Config {
	setDuration(&c.TokenRequestInterval, 200*time.Millisecond)
	setDuration(&c.MaxTokenRequestInterval, 500*time.Millisecond)
	setDuration(&c.RetransmitInitial, 300*time.Millisecond)
	setDuration(&c.RetransmitMax, 2*time.Second)
	setDuration(&c.Lease, time.Minute)
	setDuration(&c.RecountTimeout, time.Second)
	setDuration(&c.MaxWait, 3*time.Second)
	setDuration(&c.RecountInterval, 200*time.Millisecond)
	setDuration(&c.TokenRequestTTL, 3*time.Second)
	setDuration(&c.IdleReturnInterval, 5*time.Second)
	setDuration(&c.GoneAfter, 10*time.Minute)
	if c.TokenRequestPeers == 0 {
		c.TokenRequestPeers = 2
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
