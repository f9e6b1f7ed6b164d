package bench

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/quota"
)

const (
	// quotaHolders is the number of holders in measurements over the number of customers.
	// Present deployments have as many agents of a service.
	quotaHolders = 7
	// quotaCustomers is the number of customers in measurements over the number of holders.
	quotaCustomers = 20
	quotaTokens    = 70 // tokens of each limit
	quotaTick      = 100 * time.Millisecond
)

var (
	customerSizes = []int{100, 300, 1000, 3000, 10000}
	holderSizes   = []int{3, 10, 30, 100, 300}
)

func holderMeasurements() []measurement {
	return []measurement{
		{"accounts with tokens", Memory, "customer", customerSizes, holderMemory},
		{"admit and release a flow of each customer", CPU, "customer", customerSizes, holderAdmit},
		{"one idle step", CPU, "customer", customerSizes, holderStep},
		{"admit a flow of each customer where no token is held, calls of all holders", Wire, "customer", []int{10, 30, 100, 300, 1000, 3000}, tokenRequestBytes},
		{"idle calls of one second, all holders with the grantor", Wire, "holder", holderSizes, renewBytes},
	}
}

func grantorMeasurements() []measurement {
	return []measurement{
		{"ledger", Memory, "customer", customerSizes, grantorMemoryByCustomers},
		{"table of holders", Memory, "holder", holderSizes, grantorMemoryByHolders},
		{"one idle step", CPU, "customer", customerSizes, grantorStepByCustomers},
		{"one idle step", CPU, "holder", holderSizes, grantorStepByHolders},
		{"issue all tokens after the first recount", Wire, "customer", customerSizes, issueBytes},
	}
}

// quotaWorld simulates the grantor and the holders of one service on a network without
// delay and loss.
type quotaWorld struct {
	now          time.Duration
	grantor      *quota.Grantor
	holders      []*quota.Holder
	parties      []quota.Party
	grantorParty quota.Party // identity of the grantor
	index        map[quota.Party]int
	size         *callSize
	bytes        int // total size of all calls
	lastAccount  quota.Account
}

func newQuotaWorld(holders, customers int) *quotaWorld {
	w := &quotaWorld{
		index:        make(map[quota.Party]int, holders),
		grantorParty: quota.Party{ID: packet.AgentIDOf("grantor"), Incarnation: 1},
		size:         newCallSize("Quota.Send", &[]quota.Message{}, &struct{ OK bool }{true}),
	}
	var peers []quota.Peer
	var infos []quota.HolderInfo
	for i := range holders {
		p := quota.Party{ID: slopeUpstream(i).ID, Incarnation: 1}
		w.index[p] = i
		w.parties = append(w.parties, p)
		w.holders = append(w.holders, quota.NewHolder(quota.Config{}, benchService, p, slopeRand()))
		peers = append(peers, quota.Peer{Party: p, Accepting: true})
		infos = append(infos, quota.HolderInfo{Party: p, Accepting: true})
	}
	for _, h := range w.holders {
		h.SetPeers(peers)
	}
	w.grantor = quota.NewGrantor(0, quota.Config{}, benchService, w.grantorParty, 1, slopeRand())
	w.grantor.SetHolders(0, infos)
	w.grantor.SetLimits(slopeLimits(customers))
	w.lastAccount = quota.Account{Customer: uint64(customers), Kind: quota.Connections}
	return w
}

func slopeLimits(customers int) []quota.Amount {
	var out []quota.Amount
	for c := range customers {
		for _, k := range []quota.Kind{quota.Connections, quota.Rate} {
			out = append(out, quota.Amount{Account: quota.Account{Customer: uint64(c + 1), Kind: k}, Tokens: quotaTokens})
		}
	}
	return out
}

// run steps the grantor and the holders for a time.
func (w *quotaWorld) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += quotaTick {
		w.deliver(w.grantor.Step(w.now))
		for _, h := range w.holders {
			w.deliver(h.Step(w.now))
		}
	}
}

// deliver delivers messages and their answers until there are none left. Messages of one
// step to the same receiver are sent in one call.
func (w *quotaWorld) deliver(messages []quota.Message) {
	for len(messages) > 0 {
		var answers []quota.Message
		calls := map[quota.Party][]quota.Message{}
		for _, m := range messages {
			calls[m.To] = append(calls[m.To], m)
			answers = append(answers, w.handle(m)...)
		}
		for _, call := range calls {
			w.bytes += w.size.bytes(&call, &struct{ OK bool }{true})
		}
		messages = answers
	}
}

func (w *quotaWorld) handle(m quota.Message) []quota.Message {
	if m.To == w.grantorParty {
		return w.grantor.Handle(w.now, m)
	}
	return w.holders[w.index[m.To]].Handle(w.now, m)
}

// newIssuedWorld returns a world in which all tokens have been issued and received.
// Issued counts tokens before the grantor sends them. It sends each holder at most one batch
// of 200 amounts in a step, so the two amounts of each customer need up to customers/100
// steps. The run continues for twice as many, and for a further 10 s.
func newIssuedWorld(holders, customers int) *quotaWorld {
	w := newQuotaWorld(holders, customers)
	for n, known := int32(0), false; !known || n != quotaTokens; n, known = w.grantor.Issued(w.lastAccount) {
		w.run(time.Second)
		if w.now > time.Hour {
			panic("bench: the grantor did not issue all tokens within 1 h")
		}
	}
	w.run(10*time.Second + time.Duration(customers)*quotaTick/50)
	return w
}

func holderMemory(m meter, n int) Point {
	total := m.heap(func() any { return newIssuedWorld(quotaHolders, n).holders })
	return Point{float64(n), total / quotaHolders}
}

func holderAdmit(m meter, n int) Point {
	w := newIssuedWorld(1, n)
	h := w.holders[0]
	// A token of the limit of new connections becomes free again after about 1 s.
	return Point{float64(n), m.cpu(func() { w.run(2 * time.Second) }, func() {
		for c := range n {
			if v := h.Admit(w.now, uint64(c+1), uint64(c)); v != quota.Admitted {
				panic("bench: a holder with all tokens did not admit a flow")
			}
			h.Release(w.now, uint64(c+1))
		}
	})}
}

func holderStep(m meter, n int) Point {
	const steps = 10000
	w := newIssuedWorld(quotaHolders, n)
	total := m.cpu(func() { w.run(time.Second) }, func() {
		for range steps {
			w.holders[0].Step(w.now)
		}
	})
	return Point{float64(n), total / steps}
}

// tokenRequestBytes measures the calls by which the last of 7 holders obtains the tokens that it
// lacks. The grantor issues the tokens of a customer to two holders, so the last holder has none
// of most customers.
func tokenRequestBytes(_ meter, n int) Point {
	w := newIssuedWorld(quotaHolders, n)
	h := w.holders[quotaHolders-1]
	w.bytes = 0
	asked := 0
	for c := range n {
		if held, _ := h.Held(quota.Account{Customer: uint64(c + 1), Kind: quota.Connections}); held == 0 {
			asked++
			h.Admit(w.now, uint64(c+1), uint64(c))
		}
	}
	w.run(5 * time.Second)
	for _, d := range h.Decisions() {
		if d.Verdict != quota.Admitted {
			panic("bench: a flow below its plan was refused")
		}
	}
	return Point{float64(asked), float64(w.bytes)}
}

func renewBytes(_ meter, n int) Point {
	const seconds = 120
	w := newIssuedWorld(n, quotaCustomers)
	w.bytes = 0
	w.run(seconds * time.Second)
	return Point{float64(n), float64(w.bytes) / seconds}
}

func grantorMemoryByCustomers(m meter, n int) Point { return grantorMemory(m, quotaHolders, n, n) }
func grantorMemoryByHolders(m meter, n int) Point   { return grantorMemory(m, n, quotaCustomers, n) }

func grantorMemory(m meter, holders, customers, units int) Point {
	return Point{float64(units), m.heap(func() any { return newIssuedWorld(holders, customers).grantor })}
}

func grantorStepByCustomers(m meter, n int) Point { return grantorStep(m, quotaHolders, n, n) }
func grantorStepByHolders(m meter, n int) Point   { return grantorStep(m, n, quotaCustomers, n) }

func grantorStep(m meter, holders, customers, units int) Point {
	const steps = 1000
	w := newIssuedWorld(holders, customers)
	total := m.cpu(func() {}, func() {
		for range steps {
			w.grantor.Step(w.now)
		}
	})
	return Point{float64(units), total / steps}
}

func issueBytes(_ meter, n int) Point {
	return Point{float64(n), float64(newIssuedWorld(quotaHolders, n).bytes)}
}
