package flow

import (
	"fmt"
	"strings"
	"testing"
	"time"
	"unsafe"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/nutmegtrack/nutmegtrack/internal/spec"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

var _ = Describe("flowStore", func() {
	// Guards against entries lost or duplicated when the index closes a gap.
	It("behaves as a map", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := newFlowStore()
			model := map[packet.Key]uint64{}
			for range rapid.IntRange(1, 300).Draw(t, "steps") {
				k := key(rapid.IntRange(0, 60).Draw(t, "key"), packet.ProtoTCP)
				hash := k.Hash() & 0x1f // few slots, so that probe sequences are long
				e := s.find(hash, &k)
				if _, held := model[k]; held != (e != nil) {
					t.Fatalf("key in model: %v, in store: %v", held, e != nil)
				}
				if e == nil {
					s.insert(0, hash, &k)
					model[k] = hash
				} else {
					s.remove(int((uintptr(unsafe.Pointer(e)) - uintptr(unsafe.Pointer(&s.entries[0]))) / unsafe.Sizeof(entry{})))
					delete(model, k)
				}
			}
			for k, hash := range model {
				if s.find(hash, &k) == nil {
					t.Fatalf("key %v is lost", k)
				}
			}
		})
	})
})

var _ = Describe("digests", func() {
	// Guards against a digest that stays wrong after lost messages, and against endless
	// resynchronisation.
	It("become equal to the sender's set once messages arrive again", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			r := newRig(4, TableConfig{})
			r.run(settled)
			r.loseMessage = func() bool { return rapid.IntRange(0, 2).Draw(t, "lost") == 0 }
			for range 30 {
				n := rapid.IntRange(0, 500).Draw(t, "flow")
				r.send(r.list[n%4], syn(key(n, packet.ProtoTCP)))
				end := data(key(rapid.IntRange(0, 500).Draw(t, "ended"), packet.ProtoTCP))
				end.RST = true
				r.send(r.list[0], end)
				if rapid.IntRange(0, 5).Draw(t, "change") == 0 {
					states := []State{Starting, Ready, Draining}
					r.setState(r.list[n%4].Name, rapid.SampledFrom(states).Draw(t, "state"))
					r.announce()
				}
				r.run(time.Second)
			}
			r.loseMessage = func() bool { return false }
			r.run(2 * settled)
			for _, from := range r.list {
				r.checkDigests(t, r.agents[from.ID])
			}
		})
	})
})

// checkDigests compares an agent's digests at its peers with the agent's flows.
func (r *rig) checkDigests(t *rapid.T, from *Table) {
	for _, p := range from.peers.list {
		want := map[uint32]uint16{}
		for _, e := range from.flows.entries {
			if e.target == p.ID || e.futureTarget == p.ID {
				want[fingerprint(e.hash)]++
			}
		}
		b := r.agents[p.ID].inbox(from.self.ID)
		if fmt.Sprint(b.set) != fmt.Sprint(want) && len(b.set)+len(want) > 0 {
			t.Fatalf("digest of %s at %s is %v, want %v", from.self.Name, p.Name, b.set, want)
		}
		if b.mismatch || len(p.outbox.ops) > 0 {
			t.Fatalf("digest of %s at %s has a mismatch or pending changes", from.self.Name, p.Name)
		}
	}
}

var _ = Describe("a service under random changes", func() {
	// Guards against a flow with two owners and against a lost flow while up to two upstreams
	// change at once and a quarter of the messages are lost.
	It("delivers every packet of a flow to one agent", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			r := newRig(5, TableConfig{})
			r.run(settled)
			r.loseMessage = func() bool { return rapid.IntRange(0, 3).Draw(t, "lost") == 0 }
			draining := map[string]bool{}
			for range 12 {
				for range rapid.IntRange(0, 2).Draw(t, "changes") {
					name := r.list[rapid.IntRange(0, 4).Draw(t, "upstream")].Name
					if !draining[name] && len(draining) == 3 {
						continue
					}
					r.setState(name, map[bool]State{false: Draining, true: Ready}[draining[name]])
					if draining[name] = !draining[name]; !draining[name] {
						delete(draining, name)
					}
				}
				r.traffic(t)       // balancers have received the change, the agents have not
				r.run(time.Second) // some digests are sent
				r.announce()
				r.traffic(t)
				r.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			}
			if r.secondOwners != 0 {
				t.Fatalf("%d flows had two owners", r.secondOwners)
			}
		})
	})
})

// traffic sends packets of some flows to the first choice in the newest view.
func (r *rig) traffic(t *rapid.T) {
	for range 10 {
		k := key(rapid.IntRange(0, 40).Draw(t, "flow"), packet.ProtoTCP)
		in, owner := data(k), r.owners[k]
		if owner == 0 {
			in, r.opened[k] = syn(k), r.now
		} else if r.now-r.opened[k] < 7*time.Second && rapid.Bool().Draw(t, "retransmission") {
			in = syn(k)
		}
		_, a := r.send(r.firstReady(k), in)
		// A new flow may be refused when the agents' views differ in several peers: the
		// client's retransmission opens it.
		if a.Kind != Deliver && owner != 0 {
			t.Fatalf("packet of a flow owned by %08x was dropped: %v", owner, a.Reason)
		}
	}
}

func (r *rig) firstReady(k packet.Key) Upstream {
	for _, u := range r.ranking(k) {
		if u.State == Ready {
			return u
		}
	}
	panic("no upstream is ready")
}

// Compares a whole session with drain, start, hand-off and resynchronisation to its golden
// file, so that any changed decision or message shows up as a difference.
func TestGoldenSession(t *testing.T) {
	RegisterTestingT(t)
	r := newRig(4, TableConfig{})
	var log strings.Builder
	step := func(title string, d time.Duration) {
		fmt.Fprintf(&log, "%v %s\n", r.now, title)
		r.announce()
		for n := range 12 {
			k := key(n, uint8(packet.ProtoTCP+n%2*(packet.ProtoUDP-packet.ProtoTCP)))
			in := data(k)
			in.First = n%2 == 1 || r.owners[k] == 0
			path, a := r.send(r.firstReady(k), in)
			fmt.Fprintf(&log, "  flow %2d path %-5s action %d reason %v hint %v\n", n, path, a.Kind, a.Reason, a.Hint)
		}
		for end := r.now + d; r.now < end; {
			r.now += time.Second
			for _, u := range r.list {
				for _, m := range r.agents[u.ID].Step(r.now) {
					if m.Seq != 0 || m.Resync {
						fmt.Fprintf(&log, "  %v %s to %s seq %d reset %v add %08x remove %08x check %v count %d resync %v\n", r.now, u.Name,
							r.agents[m.To].self.Name, m.Seq, m.Reset, m.Add, m.Remove, m.Check, m.Count, m.Resync)
					}
					r.agents[m.To].Handle(r.now, m)
				}
			}
		}
	}
	step("start", 20*time.Second)
	r.setState("c", Draining)
	step("c drains", 20*time.Second)
	r.setState("b", Draining)
	r.setState("c", Ready)
	step("b drains and c is ready again", 20*time.Second)
	r.setState("b", Starting)
	step("b starts", 20*time.Second)
	r.setState("b", Ready)
	step("b is ready", 20*time.Second)
	spec.Golden("session.golden", log.String())
}

// bytesPerFlow returns the memory per flow of a table with n open displaced flows: entries
// and index.
func bytesPerFlow(n int) float64 {
	r := newRig(2, TableConfig{})
	t := r.agents[r.named("a").ID]
	for i := range n {
		k := key(i, packet.ProtoTCP)
		t.takeOwnership(r.now, k.Hash(), &k)
	}
	own := uintptr(cap(t.flows.entries))*unsafe.Sizeof(entry{}) + uintptr(cap(t.flows.index))*unsafe.Sizeof(t.flows.index[0])
	return float64(own) / float64(n)
}

// Guards against entries and an index that exceed the limit of 200 bytes per flow.
func TestMemoryPerFlow(t *testing.T) {
	for _, n := range []int{100, 1400, 2000, 2049, 20000, 65000} {
		if got := bytesPerFlow(n); got > 200 {
			t.Errorf("%d flows take %.0f bytes each", n, got)
		}
	}
}

// Guards against an allocation for each packet of an open flow.
func TestReceiveAllocations(t *testing.T) {
	r := newRig(3, TableConfig{})
	k := key(1, packet.ProtoTCP)
	r.agents[r.list[0].ID].takeOwnership(0, k.Hash(), &k)
	in := data(k)
	if n := testing.AllocsPerRun(1000, func() {
		for _, u := range r.list {
			h := packet.Header{Service: testService, Origin: testOrigin}
			r.agents[u.ID].Receive(0, &h, &in)
		}
	}); n != 0 {
		t.Fatalf("Receive allocates %v times", n)
	}
}
