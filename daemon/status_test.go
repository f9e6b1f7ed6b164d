package daemon_test

import (
	"bytes"
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/control"
	"github.com/nutmegtrack/nutmegtrack/daemon"
)

// newPeer returns a peer whose dump contains the given process state and members.
func newPeer(p daemon.Process, members ...daemon.Member) *peer {
	d := control.NewDump()
	d.AddSource(daemon.SourceProcess, func() any { return p })
	d.AddSource(daemon.SourceMembers, func() any { return members })
	return &peer{dump: d}
}

var _ = Describe("The status of a deployment", func() {
	// Guards against a status that shows no problem although a process lags, does not
	// respond, or is known to only one of the queried balancers.
	It("reports the processes that lag or do not respond", func() {
		at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port) }
		record := func(role, name, state string, port uint16) daemon.Member {
			return daemon.Member{Role: role, Name: name, State: state, Control: at(port), Version: 1}
		}
		b1, u1 := record("balancer", "b1", "ready", 1), record("agent", "u1", "ready", 2)
		u2, u3 := record("agent", "u2", "ready", 3), record("agent", "u3", "leaving", 4)
		old := u3
		old.State, old.Version = "ready", 0
		net := peers{
			at(1): newPeer(daemon.Process{Role: "balancer", Name: "b1", State: "ready", Revision: 7, KnownRevision: 7}, b1, u1, old),
			at(2): newPeer(daemon.Process{Role: "agent", Name: "u1", State: "ready", Revision: 6, KnownRevision: 6}),
			at(5): newPeer(daemon.Process{}, u2, u3),
		}
		s := daemon.FetchDeploymentStatus(ctx, net, []netip.AddrPort{at(1), at(5)})
		Expect(s.Revision).To(BeEquivalentTo(7))
		lagging := map[string]bool{}
		for i := range s.Processes {
			lagging[s.Processes[i].Name] = s.Processes[i].LagsOrUnanswered(s.Revision)
		}
		Expect(lagging).To(Equal(map[string]bool{"b1": false, "u1": true, "u2": true, "u3": false}))
		Expect(s.LaggingOrUnanswered()).To(Equal(2))
		var out bytes.Buffer
		Expect(s.Write(&out)).To(Succeed())
		Expect(out.String()).To(MatchRegexp(`agent +u1 .* lags\n`))
		Expect(out.String()).To(ContainSubstring("revision 7; 2 of 4 processes lag or did not answer"))
	})
})
