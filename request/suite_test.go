package request

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// TestMain fixes rapid's seed, so that all runs are equal.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestRequest(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = 1
	ginkgo.RunSpecs(t, "request", suite, reporter)
}

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
