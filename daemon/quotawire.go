package daemon

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/quota"
)

// errMixedBatch is returned for a batch whose messages differ in service, sender or receiver.
var errMixedBatch = errors.New("daemon: quota messages of one batch differ in service, sender or receiver")

// wireBatch is the CBOR form of a QuotaBatch. The fields that all messages of a batch
// share are encoded once.
type wireBatch struct {
	_        struct{} `cbor:",toarray"`
	Control  netip.AddrPort
	Service  packet.ServiceID
	From, To wireParty
	Messages []wireQuotaMessage
}

// wireParty is a quota.Party: one incarnation of an agent, or one term of a grantor.
type wireParty struct {
	_           struct{} `cbor:",toarray"`
	ID          packet.AgentID
	Incarnation uint64
}

// wireQuotaMessage holds the fields of a quota.Message that the batch does not share. They
// are described there.
type wireQuotaMessage struct {
	Kind     quota.MessageKind `cbor:"1,keyasint"`
	Term     int64             `cbor:"2,keyasint,omitempty"`
	Seq      uint64            `cbor:"3,keyasint,omitempty"`
	Groups   uint64            `cbor:"4,keyasint,omitempty"`
	Amounts  []wireAmount      `cbor:"5,keyasint,omitempty"`
	Channels []wireChannel     `cbor:"6,keyasint,omitempty"`
}

type wireAmount struct {
	_        struct{} `cbor:",toarray"`
	Customer uint64
	Kind     quota.Kind
	Tokens   int32
}

// wireChannel is a quota.ChannelReport.
type wireChannel struct {
	_                           struct{} `cbor:",toarray"`
	Peer                        wireParty
	OutstandingSeq, ReceivedSeq uint64
	Outstanding                 []wireAmount
}

// MarshalBinary encodes the batch. With it, gob sends one byte string and does not send
// type descriptions on each new connection.
func (b QuotaBatch) MarshalBinary() ([]byte, error) {
	// Most replies are empty and are encoded as zero bytes.
	if len(b.Messages) == 0 {
		return nil, nil
	}
	w := wireBatch{Control: b.Control}
	for i := range b.Messages {
		m := &b.Messages[i]
		from, to := wireParty{ID: m.From.ID, Incarnation: m.From.Incarnation}, wireParty{ID: m.To.ID, Incarnation: m.To.Incarnation}
		if i > 0 && (w.Service != m.Service || w.From != from || w.To != to) {
			return nil, errMixedBatch
		}
		w.Service, w.From, w.To = m.Service, from, to
		w.Messages = append(w.Messages, encodeQuota(m))
	}
	return cbor.Marshal(w)
}

// UnmarshalBinary decodes a batch encoded by MarshalBinary.
func (b *QuotaBatch) UnmarshalBinary(data []byte) error {
	*b = QuotaBatch{}
	if len(data) == 0 {
		return nil
	}
	var w wireBatch
	if err := cbor.Unmarshal(data, &w); err != nil {
		return errors.Wrap(err, "daemon: decode quota messages")
	}
	for i := range w.Messages {
		m, err := decodeQuota(&w.Messages[i])
		if err != nil {
			*b = QuotaBatch{}
			return err
		}
		m.Service = w.Service
		m.From, m.To = quota.Party{ID: w.From.ID, Incarnation: w.From.Incarnation}, quota.Party{ID: w.To.ID, Incarnation: w.To.Incarnation}
		b.Messages = append(b.Messages, m)
	}
	b.Control = w.Control
	return nil
}

func encodeQuota(m *quota.Message) wireQuotaMessage {
	w := wireQuotaMessage{Kind: m.Kind, Term: m.Term, Seq: m.Seq, Groups: m.Groups, Amounts: encodeAmounts(m.Amounts)}
	for _, c := range m.Channels {
		w.Channels = append(w.Channels, wireChannel{
			Peer:           wireParty{ID: c.Peer.ID, Incarnation: c.Peer.Incarnation},
			OutstandingSeq: c.OutstandingSeq, ReceivedSeq: c.ReceivedSeq, Outstanding: encodeAmounts(c.Outstanding),
		})
	}
	return w
}

func decodeQuota(w *wireQuotaMessage) (m quota.Message, err error) {
	m = quota.Message{Kind: w.Kind, Term: w.Term, Seq: w.Seq, Groups: w.Groups}
	if m.Amounts, err = decodeAmounts(w.Amounts); err != nil {
		return m, err
	}
	for _, c := range w.Channels {
		outstanding, err := decodeAmounts(c.Outstanding)
		if err != nil {
			return m, err
		}
		m.Channels = append(m.Channels, quota.ChannelReport{
			Peer:           quota.Party{ID: c.Peer.ID, Incarnation: c.Peer.Incarnation},
			OutstandingSeq: c.OutstandingSeq, ReceivedSeq: c.ReceivedSeq, Outstanding: outstanding,
		})
	}
	return m, nil
}

func encodeAmounts(list []quota.Amount) (out []wireAmount) {
	for _, a := range list {
		out = append(out, wireAmount{Customer: a.Account.Customer, Kind: a.Account.Kind, Tokens: a.Tokens})
	}
	return out
}

// decodeAmounts returns an error for an amount that no process sends: package quota panics if an
// account holds a negative number of tokens.
func decodeAmounts(list []wireAmount) (out []quota.Amount, err error) {
	for _, a := range list {
		if a.Tokens < 0 || !a.Kind.Valid() {
			return nil, errors.Newf("daemon: quota message with %d tokens of kind %d", a.Tokens, uint8(a.Kind))
		}
		out = append(out, quota.Amount{Account: quota.Account{Customer: a.Customer, Kind: a.Kind}, Tokens: a.Tokens})
	}
	return out, nil
}
