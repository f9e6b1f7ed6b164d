package quota

import (
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

const (
	testService packet.ServiceID = 7
	testTick                     = 50 * time.Millisecond
	alice       uint64           = 1
)

var (
	connections = Account{alice, Connections}
	rate        = Account{alice, Rate}
)

// service is a set of holders and at most one grantor. The test delivers, drops or
// repeats their messages.
type service struct {
	now         time.Duration
	holders     []*Holder
	grantor     *Grantor
	partitioned map[Party]bool
	// drop reports whether a message is lost.
	drop func(Message) bool
	sent []Message
}

func newService(n int) *service {
	s := &service{partitioned: map[Party]bool{}, drop: func(Message) bool { return false }}
	for i := range n {
		p := Party{ID: packet.AgentID(i + 1), Incarnation: 1}
		s.holders = append(s.holders, NewHolder(Config{}, testService, p, rand.New(rand.NewPCG(1, uint64(i)))))
	}
	return s
}

func (s *service) startGrantor(term int64, tokens int32) {
	self := Party{ID: packet.AgentID(100 + term), Incarnation: 1}
	s.grantor = NewGrantor(s.now, Config{}, testService, self, term, rand.New(rand.NewPCG(2, uint64(term))))
	s.setLimit(tokens)
}

func (s *service) setLimit(tokens int32) {
	s.grantor.SetLimits([]Amount{{connections, tokens}, {rate, 1000}})
}

func (s *service) parties() ([]Peer, []HolderInfo) {
	var peers []Peer
	var infos []HolderInfo
	for _, h := range s.holders {
		peers = append(peers, Peer{Party: h.self, Accepting: true})
		infos = append(infos, HolderInfo{Party: h.self, Accepting: true})
	}
	return peers, infos
}

// run steps all holders and the grantor for the given time.
func (s *service) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += testTick {
		peers, infos := s.parties()
		for _, h := range s.holders {
			h.SetPeers(peers)
			s.deliver(h.Step(s.now))
		}
		if s.grantor != nil {
			s.grantor.SetHolders(s.now, infos)
			s.deliver(s.grantor.Step(s.now))
		}
	}
}

func (s *service) deliver(messages []Message) {
	for _, m := range messages {
		s.sent = append(s.sent, m)
		if s.partitioned[m.From] || s.partitioned[m.To] || s.drop(m) {
			continue
		}
		s.handle(m)
	}
}

func (s *service) handle(m Message) {
	if s.grantor != nil && m.To == s.grantor.self {
		s.deliver(s.grantor.Handle(s.now, m))
		return
	}
	for _, h := range s.holders {
		if h.self == m.To {
			s.deliver(h.Handle(s.now, m))
		}
	}
}

// held returns the number of tokens at all holders, and the number of them in use.
func (s *service) held(a Account) (held, used int32) {
	for _, h := range s.holders {
		n, u := h.Held(a)
		held += n
		used += u
	}
	return held, used
}

// admitAll admits flows at one holder until it refuses one or queues it, and
// returns the number admitted.
func (s *service) admitAll(h *Holder) int32 {
	for n := int32(0); ; n++ {
		if h.Admit(s.now, alice, uint64(n)) != Admitted {
			return n
		}
	}
}

// admissions counts the flows that were admitted after they had waited.
func admissions(decisions []Decision) int32 {
	n := int32(0)
	for _, d := range decisions {
		if d.Verdict == Admitted {
			n++
		}
	}
	return n
}

var _ = Describe("Holder", func() {
	It("admits nothing without an admission lease", func() {
		s := newService(1)
		Expect(s.holders[0].Admit(0, alice, 1)).To(Equal(NoLease))
	})

	It("stops admitting when the lease expires, and keeps open connections", func() {
		s := newService(2)
		s.startGrantor(1, 10)
		s.run(2 * time.Second)
		Expect(s.holders[0].Admit(s.now, alice, 1)).To(Equal(Admitted))
		s.partitioned[s.holders[0].self] = true
		s.run(61 * time.Second)
		Expect(s.holders[0].Admit(s.now, alice, 2)).To(Equal(NoLease))
		_, used := s.holders[0].Held(connections)
		Expect(used).To(BeEquivalentTo(1))
	})

	It("adds a repeated transfer once", func() {
		s := newService(2)
		s.startGrantor(1, 10)
		s.run(2 * time.Second)
		m := Message{Kind: MessageTransfer, Service: testService, From: s.holders[1].self, To: s.holders[0].self,
			Seq: s.holders[0].channel(s.holders[1].self).received + 1, Amounts: []Amount{{connections, 3}}}
		before, _ := s.holders[0].Held(connections)
		s.holders[0].Handle(s.now, m)
		s.holders[0].Handle(s.now, m)
		after, _ := s.holders[0].Held(connections)
		Expect(after - before).To(BeEquivalentTo(3))
	})

	It("transfers tokens to the agent at which the connections arrive", func() {
		s := newService(7)
		s.startGrantor(1, 50)
		s.run(2 * time.Second)
		admitted := s.admitAll(s.holders[3])
		for range 100 {
			s.run(testTick)
			admitted += admissions(s.holders[3].Decisions())
			if s.holders[3].Admit(s.now, alice, 99) == Admitted {
				admitted++
			}
		}
		Expect(admitted).To(BeEquivalentTo(50))
		_, used := s.held(connections)
		Expect(used).To(BeEquivalentTo(50))
	})

	It("refuses a flow that has waited for longer than MaxWait", func() {
		s := newService(2)
		s.startGrantor(1, 1)
		s.run(2 * time.Second)
		total := s.admitAll(s.holders[0]) + s.admitAll(s.holders[1])
		s.run(4 * time.Second)
		decided := 0
		for _, h := range s.holders {
			decisions := h.Decisions()
			decided += len(decisions)
			total += admissions(decisions)
		}
		Expect(total).To(BeEquivalentTo(1))
		Expect(decided).To(BeEquivalentTo(2))
	})

	It("transfers its free tokens to peers when it drains", func() {
		s := newService(3)
		s.startGrantor(1, 30)
		s.run(2 * time.Second)
		s.holders[0].SetDraining()
		s.run(2 * time.Second)
		held, _ := s.holders[0].Held(connections)
		Expect(held).To(BeZero())
		total, _ := s.held(connections)
		Expect(total).To(BeEquivalentTo(30))
	})

	It("admits no more than the rate in any second", func() {
		s := newService(1)
		s.startGrantor(1, 1000)
		s.grantor.SetLimits([]Amount{{connections, 1000}, {rate, 5}})
		s.run(3 * time.Second)
		h := s.holders[0]
		var openings []time.Duration
		for range 200 {
			if h.Admit(s.now, alice, 1) == Admitted {
				openings = append(openings, s.now)
			}
			for range admissions(h.Decisions()) {
				openings = append(openings, s.now)
			}
			s.run(testTick)
		}
		Expect(len(openings)).To(BeNumerically(">", 40))
		for i := 5; i < len(openings); i++ {
			Expect(openings[i] - openings[i-5]).To(BeNumerically(">", time.Second))
		}
	})
})

var _ = Describe("A message with extreme numbers", func() {
	// Guards against a process that ends for tokens that exceed a count.
	It("does not end the holder", func() {
		s := newService(2)
		h := s.holders[0]
		for seq := range uint64(3) {
			h.Handle(0, Message{Kind: MessageTransfer, Service: testService, From: s.holders[1].self, To: h.self, Seq: seq + 1,
				Amounts: []Amount{{connections, math.MaxInt32}, {rate, 0}}})
			h.Step(time.Duration(seq) * testTick)
		}
		held, _ := h.Held(connections)
		Expect(held).To(BeEquivalentTo(math.MaxInt32))
	})
})

var _ = Describe("Grantor", func() {
	It("issues exactly the limit", func() {
		s := newService(5)
		s.startGrantor(1, 42)
		s.run(2 * time.Second)
		held, _ := s.held(connections)
		Expect(held).To(BeEquivalentTo(42))
	})

	It("takes tokens back from open connections only when they end", func() {
		s := newService(2)
		s.startGrantor(1, 10)
		s.run(2 * time.Second)
		open := []int32{s.admitAll(s.holders[0]), s.admitAll(s.holders[1])}
		s.setLimit(4)
		s.run(2 * time.Second)
		held, used := s.held(connections)
		Expect(used).To(Equal(open[0] + open[1]))
		Expect(held).To(Equal(used))
		for i, h := range s.holders {
			for range open[i] {
				h.Release(s.now, alice)
			}
		}
		s.run(3 * time.Second)
		held, _ = s.held(connections)
		Expect(held).To(BeEquivalentTo(4))
	})

	It("does not issue again what an earlier grantor issued", func() {
		s := newService(4)
		s.startGrantor(1, 40)
		s.run(2 * time.Second)
		s.startGrantor(2, 40)
		s.run(3 * time.Second)
		held, _ := s.held(connections)
		Expect(held).To(BeEquivalentTo(40))
		count, exact := s.grantor.Issued(connections)
		Expect(exact).To(BeTrue())
		Expect(count).To(BeEquivalentTo(40))
	})

	It("issues nothing while a holder that may hold tokens does not answer", func() {
		s := newService(3)
		s.startGrantor(1, 30)
		s.run(2 * time.Second)
		before, _ := s.held(connections)
		Expect(before).To(BeEquivalentTo(30))
		s.partitioned[s.holders[0].self] = true
		s.startGrantor(2, 30)
		s.run(20 * time.Second)
		held, _ := s.held(connections)
		Expect(held).To(BeNumerically("<=", 30))
		_, exact := s.grantor.Issued(connections)
		Expect(exact).To(BeFalse())
	})

	It("issues the tokens of a restarted VM again", func() {
		s := newService(3)
		s.startGrantor(1, 30)
		s.run(2 * time.Second)
		p := s.holders[0].self
		p.Incarnation++
		s.holders[0] = NewHolder(Config{}, testService, p, rand.New(rand.NewPCG(3, 3)))
		s.run(5 * time.Second)
		held, _ := s.held(connections)
		Expect(held).To(BeEquivalentTo(30))
	})

	It("is ignored by holders that have seen a higher term", func() {
		s := newService(2)
		s.startGrantor(2, 10)
		s.run(2 * time.Second)
		before, _ := s.held(connections)
		old := Party{ID: 55, Incarnation: 1}
		s.holders[0].Handle(s.now, Message{Kind: MessageTransfer, Service: testService, Term: 1, From: old,
			To: s.holders[0].self, Seq: 1, Amounts: []Amount{{connections, 10}}})
		after, _ := s.held(connections)
		Expect(after).To(Equal(before))
	})

	It("counts the tokens of a holder that was excluded by mistake before it renews its lease", func() {
		s := newService(3)
		s.startGrantor(1, 30)
		s.run(2 * time.Second)
		lost := s.holders[0]
		s.partitioned[lost.self] = true
		g := s.grantor
		for range 70 * 20 {
			_, infos := s.parties()
			infos[0].Gone, infos[0].Accepting = true, false
			g.SetHolders(s.now, infos)
			s.deliver(g.Step(s.now))
			for _, h := range s.holders {
				s.deliver(h.Step(s.now))
			}
			s.now += testTick
		}
		Expect(lost.Admit(s.now, alice, 1)).To(Equal(NoLease))
		s.partitioned = map[Party]bool{}
		s.run(10 * time.Second)
		held, _ := s.held(connections)
		Expect(held).To(BeEquivalentTo(30))
	})
})

var _ = Describe("Conservation", func() {
	// Guards against tokens created by message loss, duplication or reordering, by
	// changes of the grantor, or by any combination of these.
	It("never holds more tokens than the limit, whatever happens to messages", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
			s := newService(rapid.IntRange(2, 5).Draw(t, "holders"))
			s.startGrantor(1, 20)
			s.drop = func(Message) bool { return rng.Float64() < 0.2 }
			open := make([]int32, len(s.holders))
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				s.randomStep(t, rng, open)
				held, used := s.held(connections)
				if held > 20 || used > 20 {
					t.Fatalf("%d tokens held, %d used, limit 20", held, used)
				}
			}
		})
	})
})

// randomStep performs one random action: it admits or releases flows, redelivers
// old messages, replaces the grantor or partitions a holder. Then it advances time.
func (s *service) randomStep(t *rapid.T, rng *rand.Rand, open []int32) {
	i := rng.IntN(len(s.holders))
	switch rapid.IntRange(0, 4).Draw(t, "action") {
	case 0:
		open[i] += s.admitAll(s.holders[i])
	case 1:
		if open[i] > 0 {
			s.holders[i].Release(s.now, alice)
			open[i]--
		}
	case 2:
		for range min(5, len(s.sent)) {
			s.handle(s.sent[rng.IntN(len(s.sent))])
		}
	case 3:
		s.startGrantor(s.grantor.term+1, 20)
	case 4:
		s.partitioned = map[Party]bool{s.holders[i].self: rng.IntN(2) == 0}
	}
	s.run(time.Duration(rng.IntN(3000)) * time.Millisecond)
	for i, h := range s.holders {
		open[i] += admissions(h.Decisions())
	}
}
