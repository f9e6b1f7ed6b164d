package control_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"net/rpc"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"github.com/nutmegtrack/nutmegtrack/control"
	"github.com/nutmegtrack/nutmegtrack/internal/spec"
	"github.com/nutmegtrack/nutmegtrack/member"
)

func TestControl(t *testing.T) {
	// Guards against connections and goroutines that outlive Close.
	defer goleak.VerifyNone(t, goleak.IgnoreAnyFunction(
		"github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
	spec.Run(t, "control")
}

// serve starts a server with a Member service and returns its address.
func serve(handle func(member.Message) member.Message, listen string) (*control.Server, netip.AddrPort) {
	GinkgoHelper()
	l, err := net.Listen("tcp", listen)
	Expect(err).NotTo(HaveOccurred())
	s := control.NewServer(control.NewCounts(nil))
	Expect(s.Register(control.MemberService, control.NewMember(handle))).To(Succeed())
	go func() { _ = s.Serve(l) }()
	return s, netip.MustParseAddrPort(l.Addr().String())
}

func echo(m member.Message) member.Message { return m }

// rawMessage is encoded by gob as a message with these bytes.
type rawMessage string

func (m rawMessage) MarshalBinary() ([]byte, error) { return []byte(m), nil }

func ping(c *control.Client, to netip.AddrPort) error {
	var reply member.Message
	return c.Call(context.Background(), to, control.MemberCall, &member.Message{Kind: member.KindPing}, &reply)
}

var _ = Describe("control", func() {
	It("transfers all fields of a message and counts about as many bytes as Message.Size estimates", func() {
		s, addr := serve(echo, "127.0.0.1:0")
		counts := control.NewCounts(nil)
		c := control.NewClient(control.ClientConfig{}, counts)
		sent := member.Message{Kind: member.KindPush, Revision: 7, From: addr, Digests: []member.Digest{{Part: 3}},
			Records: []member.Record{{Name: "u1", Service: "s", Data: addr, Control: addr, Incarnation: 1 << 60}}}
		var got member.Message
		Expect(c.Call(context.Background(), addr, control.MemberCall, &sent, &got)).To(Succeed())
		Expect(got).To(Equal(sent))
		first := counts.Sent.Count()
		for range 10 {
			Expect(c.Call(context.Background(), addr, control.MemberCall, &sent, &got)).To(Succeed())
		}
		mean := float64(counts.Sent.Count()-first) / 10
		Expect(mean).To(BeNumerically("~", sent.Size(), 4))
		c.Close()
		Expect(s.Close(context.Background())).To(Succeed())
	})

	It("reconnects after the server has been restarted", func() {
		s, addr := serve(echo, "127.0.0.1:0")
		c := control.NewClient(control.ClientConfig{}, control.NewCounts(nil))
		Expect(ping(c, addr)).To(Succeed())
		Expect(s.Close(context.Background())).To(Succeed())
		Expect(ping(c, addr)).NotTo(Succeed())
		s, _ = serve(echo, addr.String())
		Expect(ping(c, addr)).To(Succeed())
		c.Close()
		Expect(s.Close(context.Background())).To(Succeed())
	})

	It("times out a call without a reply, and Close of the server ends with its context", func() {
		release := make(chan struct{})
		s, addr := serve(func(m member.Message) member.Message { <-release; return m }, "127.0.0.1:0")
		c := control.NewClient(control.ClientConfig{Timeout: 20 * time.Millisecond}, control.NewCounts(nil))
		Expect(ping(c, addr)).To(MatchError(context.DeadlineExceeded))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(s.Close(ctx)).To(MatchError(context.Canceled))
		close(release)
		c.Close()
		Expect(s.Close(context.Background())).To(Succeed())
	})

	It("completes a call in progress when the server closes", func() {
		started, release := make(chan struct{}), make(chan struct{})
		s, addr := serve(func(m member.Message) member.Message { close(started); <-release; return m }, "127.0.0.1:0")
		c := control.NewClient(control.ClientConfig{Timeout: time.Minute}, control.NewCounts(nil))
		outcome := make(chan error, 1)
		go func() { outcome <- ping(c, addr) }()
		<-started
		closed := make(chan error, 1)
		go func() { closed <- s.Close(context.Background()) }()
		// The listener is closed before the server waits for calls.
		Eventually(func() error {
			conn, err := net.Dial("tcp", addr.String())
			if err == nil {
				_ = conn.Close()
			}
			return err
		}).Should(HaveOccurred())
		Expect(closed).NotTo(Receive())
		close(release)
		Expect(<-outcome).To(Succeed())
		Expect(<-closed).To(Succeed())
		c.Close()
	})

	It("limits the number of connections", func() {
		c := control.NewClient(control.ClientConfig{MaxConnections: 1}, control.NewCounts(nil))
		a, first := serve(echo, "127.0.0.1:0")
		b, second := serve(echo, "127.0.0.1:0")
		for range 3 {
			Expect(ping(c, first)).To(Succeed())
			Expect(ping(c, second)).To(Succeed())
		}
		// Closing waits for open connections: a leaked one would block here.
		Expect(a.Close(context.Background())).To(Succeed())
		c.Close()
		Expect(b.Close(context.Background())).To(Succeed())
		Expect(ping(c, second)).To(MatchError(control.ErrClosed))
	})

	// Guards against a process that ends, or a connection that fails for the calls of others, after
	// a call that cannot be decoded.
	DescribeTable("answers the next call after a malformed one", func(method string, args any) {
		s, addr := serve(echo, "127.0.0.1:0")
		client, err := rpc.Dial("tcp", addr.String())
		Expect(err).NotTo(HaveOccurred())
		var reply member.Message
		Expect(client.Call(method, args, &reply)).NotTo(Succeed())
		Expect(client.Call(control.MemberCall, &member.Message{Kind: member.KindPing}, &reply)).To(Succeed())
		Expect(reply.Kind).To(Equal(member.KindPing))
		Expect(client.Close()).To(Succeed())
		Expect(s.Close(context.Background())).To(Succeed())
	},
		Entry("of 1,000,000 nested arrays", control.MemberCall, rawMessage(strings.Repeat("\x81", 1_000_000))),
		Entry("of an array of 2^32 elements", control.MemberCall, rawMessage("\x9a\xff\xff\xff\xff")),
		Entry("with a number beyond its range", control.MemberCall, rawMessage("\xa1\x03\x1b\xff\xff\xff\xff\xff\xff\xff\xff")),
		Entry("that is truncated", control.MemberCall, rawMessage("\xa1")),
		Entry("that is empty", control.MemberCall, rawMessage("")),
		Entry("with text that is not UTF-8", control.MemberCall, rawMessage("\xa1\x0d\x61\xff")),
		Entry("of another type", control.MemberCall, struct{ Kind string }{"ping"}),
		Entry("of an unknown method", "Member.Other", &member.Message{}),
	)

	// Guards against a process that ends or allocates what a length claims.
	DescribeTable("closes a connection that is no RPC and serves others", func(bytes string) {
		s, addr := serve(echo, "127.0.0.1:0")
		conn, err := net.Dial("tcp", addr.String())
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, bytes)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		_, err = io.ReadAll(conn)
		Expect(err).To(Or(BeNil(), MatchError(syscall.ECONNRESET)))
		_ = conn.Close()
		c := control.NewClient(control.ClientConfig{}, control.NewCounts(nil))
		Expect(ping(c, addr)).To(Succeed())
		c.Close()
		Expect(s.Close(context.Background())).To(Succeed())
	},
		Entry("HTTP", "GET / HTTP/1.1\r\n\r\n"),
		Entry("a message of 2^30-1 bytes", "\xfc\x3f\xff\xff\xff\x01"),
		Entry("a message of 2^64-1 bytes", "\xf8\xff\xff\xff\xff\xff\xff\xff\xff\x01"),
		Entry("zeros", strings.Repeat("\x00", 1000)),
	)

	It("dumps the named sources and rejects unknown ones", func() {
		d := control.NewDump()
		r := metrics.NewRegistry()
		control.NewCounts(r).Sent.Inc(5)
		d.AddMetrics(r)
		d.AddSource("fleet", func() any { return []string{"u1"} })
		var reply control.DumpReply
		Expect(d.State(&control.DumpArgs{}, &reply)).To(Succeed())
		var state struct {
			Fleet   []string
			Metrics map[string]map[string]int
		}
		Expect(json.Unmarshal(reply.JSON, &state)).To(Succeed())
		Expect(state.Fleet).To(Equal([]string{"u1"}))
		Expect(state.Metrics["control.bytes_sent"]["count"]).To(Equal(5))
		Expect(d.State(&control.DumpArgs{Sources: []string{"none"}}, &reply)).To(MatchError(ContainSubstring("none")))
	})
})
