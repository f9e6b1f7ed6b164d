package request

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/nutmegtrack/nutmegtrack/internal/spec"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

func TestMain(m *testing.M) { spec.Main(m) }

func TestRequest(t *testing.T) { spec.Run(t, "request") }

const ms = time.Millisecond

// member returns agent i, in one of three failure domains.
func member(i int) Member {
	return Member{ID: packet.AgentID(i + 1), Incarnation: 1, FailureDomain: string(rune('a' + i%3)), Registrar: true}
}

func members(list ...int) (out []Member) {
	for _, i := range list {
		out = append(out, member(i))
	}
	return out
}

func process(i int) Process { return Process{member(i).ID, 1} }

func newTestNode(i int, cfg NodeConfig, list ...int) *Node {
	n := NewNode(cfg, process(i), rand.New(rand.NewPCG(uint64(i), 1)))
	n.SetMembers(0, members(list...))
	return n
}
