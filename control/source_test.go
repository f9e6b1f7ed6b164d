package control_test

import (
	"context"
	"net"
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/control"
)

// observedSource returns the source address of a client's connection as the listener sees
// it.
func observedSource(source, listen string) netip.Addr {
	GinkgoHelper()
	l, err := net.Listen("tcp", listen)
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	seen := make(chan netip.Addr, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			close(seen)
			return
		}
		seen <- conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
		_ = conn.Close()
	}()
	c := control.NewClient(control.ClientConfig{Source: netip.MustParseAddr(source)}, control.NewCounts(nil))
	defer c.Close()
	var reply struct{}
	Expect(c.Call(context.Background(), netip.MustParseAddrPort(l.Addr().String()), "X.Y", &struct{}{}, &reply)).NotTo(Succeed())
	got, ok := <-seen
	Expect(ok).To(BeTrue())
	return got
}

// Guards against daemons on one VM that a relay or a firewall cannot distinguish by
// address, and against a configured source address with which every call fails.
var _ = DescribeTable("a client connects from",
	func(source, listen, want string) {
		Expect(observedSource(source, listen)).To(Equal(netip.MustParseAddr(want)))
	},
	Entry("the configured source", "127.0.0.77", "127.0.0.1:0", "127.0.0.77"),
	Entry("any address when the source is unspecified", "0.0.0.0", "127.0.0.1:0", "127.0.0.1"),
	Entry("any address when the source has another IP version", "::1", "127.0.0.1:0", "127.0.0.1"),
	Entry("any address when the source cannot reach the loopback interface", "192.0.2.1", "127.0.0.1:0", "127.0.0.1"),
)
