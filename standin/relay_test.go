package standin_test

import (
	"io"
	"net"
	"net/netip"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

// echo starts a TCP echo server and returns its address.
func echo() netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	var served sync.WaitGroup
	served.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			served.Go(func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			})
		}
	})
	DeferCleanup(func() {
		listener.Close()
		served.Wait()
	})
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// freeAddr returns an address with a port that was free when it was called.
func freeAddr() netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// dialFrom connects from the given loopback address to the address to.
func dialFrom(source string, to netip.AddrPort) net.Conn {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	conn, err := d.Dial("tcp", to.String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return conn
}

// echoText sends text and returns an error if the echo does not arrive.
func echoText(conn net.Conn, text string) error {
	if _, err := conn.Write([]byte(text)); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, len(text)))
	return err
}

var _ = Describe("the relay", func() {
	var relay *standin.Relay
	var a, b standin.RelayedDaemon
	BeforeEach(func() {
		relay = standin.NewRelay()
		DeferCleanup(relay.Close)
		a = standin.RelayedDaemon{Name: "a", Advertise: freeAddr(), Target: echo(), Source: netip.MustParseAddr("127.0.0.2")}
		b = standin.RelayedDaemon{Name: "b", Advertise: freeAddr(), Target: echo(), Source: netip.MustParseAddr("127.0.0.3")}
		Expect(relay.Add(a)).To(Succeed())
		Expect(relay.Add(b)).To(Succeed())
	})

	// Guards against a measurement of control traffic that omits bytes.
	It("counts the bytes of each daemon and direction", func() {
		Expect(echoText(dialFrom("127.0.0.2", b.Advertise), "12345")).To(Succeed())
		report := relay.Report()
		Expect(report[0].In).To(BeZero())
		Expect(report[1].In).To(BeEquivalentTo(5))
		Expect(report[1].Out).To(BeEquivalentTo(5))
	})

	// Guards against a partition that does not affect existing connections or one of
	// the directions.
	It("closes connections across a partition and refuses new ones, in both directions", func() {
		ab, ba := dialFrom("127.0.0.2", b.Advertise), dialFrom("127.0.0.3", a.Advertise)
		other := dialFrom("127.0.0.4", b.Advertise)
		for _, conn := range []net.Conn{ab, ba, other} {
			Expect(echoText(conn, "x")).To(Succeed())
		}
		relay.SetPartitions([]standin.Partition{{A: []string{"a"}, B: []string{"b"}}})
		Expect(echoText(ab, "x")).NotTo(Succeed())
		Expect(echoText(ba, "x")).NotTo(Succeed())
		Expect(echoText(dialFrom("127.0.0.2", b.Advertise), "x")).NotTo(Succeed())
		Expect(echoText(other, "x")).To(Succeed())
		Expect(relay.Report()[1].Refused).To(BeEquivalentTo(1))

		relay.SetPartitions(nil)
		Expect(echoText(dialFrom("127.0.0.2", b.Advertise), "x")).To(Succeed())
	})

	It("cuts a daemon off from all callers", func() {
		relay.SetPartitions([]standin.Partition{{B: []string{"b"}}})
		Expect(echoText(dialFrom("127.0.0.9", b.Advertise), "x")).NotTo(Succeed())
		Expect(echoText(dialFrom("127.0.0.9", a.Advertise), "x")).To(Succeed())
	})
})
