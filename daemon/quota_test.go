package daemon_test

import (
	"bytes"
	"context"
	"net/netip"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/quota"
)

// recordingTransport is a Transport that records the batches in the form in which the
// receiver decodes them.
type recordingTransport struct {
	batches []daemon.QuotaBatch
	reply   []quota.Message
	fail    bool
}

func (c *recordingTransport) Call(_ context.Context, _ netip.AddrPort, _ string, args, reply any) error {
	b, err := args.(*daemon.QuotaBatch).MarshalBinary()
	if err != nil {
		return err
	}
	var got daemon.QuotaBatch
	Expect(got.UnmarshalBinary(b)).To(Succeed())
	c.batches = append(c.batches, got)
	if c.fail {
		return errors.New("unreachable")
	}
	reply.(*daemon.QuotaBatch).Messages = c.reply
	c.reply = nil
	return nil
}

func encodeBatch(a quota.Amount) []byte {
	GinkgoHelper()
	b, err := daemon.QuotaBatch{Messages: []quota.Message{{Kind: quota.MessageTransfer, Seq: 1, Amounts: []quota.Amount{a}}}}.MarshalBinary()
	Expect(err).NotTo(HaveOccurred())
	return b
}

var _ = Describe("The exchange of quota messages", func() {
	var (
		transport *recordingTransport
		handled   []quota.Message
		failed    int
		q         *daemon.QuotaExchange
		self      = quota.Party{ID: 1, Incarnation: 1 << 60}
		peer      = quota.Party{ID: 2, Incarnation: 7}
		other     = quota.Party{ID: 3, Incarnation: 8}
		address   = netip.MustParseAddrPort("127.0.0.1:7900")
	)
	amounts := []quota.Amount{{Account: quota.Account{Customer: 1 << 63, Kind: quota.Rate}, Tokens: 12}}
	message := func(to quota.Party, seq uint64) quota.Message {
		return quota.Message{
			Kind: quota.MessageReport, Service: 9, From: self, To: to, Term: 5, Seq: seq, Groups: 1 << 63, Amounts: amounts,
			Channels: []quota.ChannelReport{{Peer: other, OutstandingSeq: 3, Outstanding: amounts, ReceivedSeq: 4}},
		}
	}
	BeforeEach(func() {
		transport, handled, failed = &recordingTransport{}, nil, 0
		q = daemon.NewQuotaExchange(daemon.QuotaConfig{
			Transport: transport, Spawn: func(f func()) { f() },
			Self:    func() netip.AddrPort { return address },
			Address: func(p quota.Party) (netip.AddrPort, bool) { return address, p != other },
			Handle: func(b daemon.QuotaBatch) []quota.Message {
				handled = append(handled, b.Messages...)
				return nil
			},
			Failed: func(netip.AddrPort, error) { failed++ },
		})
	})

	// Guards against fields that are lost in encoding, and against one call for each
	// message of a step.
	It("sends the messages of a step to one receiver in one call", func() {
		answer := message(self, 9)
		answer.Service, answer.From, answer.To = 0, quota.Party{}, quota.Party{}
		transport.reply = []quota.Message{answer}
		q.Send(ctx, []quota.Message{message(peer, 1), message(other, 1), message(peer, 2)})
		Expect(transport.batches).To(Equal([]daemon.QuotaBatch{
			{Control: address, Messages: []quota.Message{message(peer, 1), message(peer, 2)}},
		}))
		answer = message(self, 9)
		answer.From = peer
		Expect(handled).To(Equal([]quota.Message{answer}))
	})

	// Guards against a process that ends because an account holds a negative number of tokens.
	DescribeTable("rejects a malformed batch", func(data func() []byte) {
		var got daemon.QuotaBatch
		Expect(got.UnmarshalBinary(data())).NotTo(Succeed())
		Expect(got.Messages).To(BeEmpty())
	},
		Entry("with negative tokens", func() []byte { return encodeBatch(quota.Amount{Tokens: -1}) }),
		Entry("with an unknown kind of tokens", func() []byte { return encodeBatch(quota.Amount{Account: quota.Account{Kind: 9}, Tokens: 1}) }),
		Entry("with negative tokens in a channel", func() []byte {
			b, err := daemon.QuotaBatch{Messages: []quota.Message{{Channels: []quota.ChannelReport{{Outstanding: []quota.Amount{{Tokens: -1}}}}}}}.MarshalBinary()
			Expect(err).NotTo(HaveOccurred())
			return b
		}),
		Entry("with tokens beyond 32 bits", func() []byte {
			return bytes.Replace(encodeBatch(quota.Amount{Tokens: 1<<31 - 1}), []byte{0x1a, 0x7f, 0xff, 0xff, 0xff}, []byte{0x1a, 0xff, 0xff, 0xff, 0xff}, 1)
		}),
		Entry("of 1,000,000 arrays", func() []byte { return bytes.Repeat([]byte{0x81}, 1_000_000) }),
		Entry("of 2^32 elements", func() []byte { return []byte{0x9a, 0xff, 0xff, 0xff, 0xff} }),
		Entry("that is truncated", func() []byte { b := encodeBatch(quota.Amount{Tokens: 1}); return b[:len(b)-1] }),
	)

	// Guards against losing messages to processes other than the caller.
	It("replies to the caller and sends the other messages in their own calls", func() {
		q = daemon.NewQuotaExchange(daemon.QuotaConfig{
			Transport: transport, Spawn: func(f func()) { f() },
			Address: func(quota.Party) (netip.AddrPort, bool) { return address, true },
			Handle:  func(daemon.QuotaBatch) []quota.Message { return []quota.Message{message(peer, 1), message(other, 2)} },
		})
		request := message(self, 1)
		request.From = peer
		var reply daemon.QuotaBatch
		Expect(daemon.NewQuotaRPC(q).Send(&daemon.QuotaBatch{Messages: []quota.Message{request}}, &reply)).To(Succeed())
		Expect(reply.Messages).To(HaveLen(1))
		Expect(reply.Messages[0].Seq).To(BeEquivalentTo(1))
		Expect(transport.batches).To(Equal([]daemon.QuotaBatch{{Messages: []quota.Message{message(other, 2)}}}))
	})

	// Guards against a receiver to which nothing is sent any more after a failed call.
	It("calls again after a failure", func() {
		transport.fail = true
		q.Send(ctx, []quota.Message{message(peer, 1)})
		q.Send(ctx, []quota.Message{message(peer, 2)})
		Expect(failed).To(Equal(2))
		Expect(transport.batches).To(HaveLen(2))
	})
})
