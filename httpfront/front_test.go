package httpfront

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/internal/spec"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/request"
)

func TestFront(t *testing.T) { spec.Run(t, "httpfront") }

// fleet is a set of fronts that share one upstream and exchange messages.
type fleet struct {
	fronts []*Front
	urls   []string
	runs   atomic.Int32
}

func newFleet(n int, handler http.HandlerFunc) *fleet {
	f := &fleet{}
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.runs.Add(1)
		handler(w, r)
	}))
	ginkgo.DeferCleanup(upstream.Close)
	start := time.Now()
	var members []request.Member
	for i := range n {
		members = append(members, request.Member{ID: packet.AgentID(i + 1), Incarnation: 1, FailureDomain: string(rune('a' + i)), Registrar: true})
	}
	for i := range n {
		f.fronts = append(f.fronts, New(Config{
			Service:  "portal",
			Upstream: netip.MustParseAddrPort(upstream.Listener.Addr().String()),
			Self:     request.Process{ID: packet.AgentID(i + 1), Incarnation: 1},
			Rand:     rand.New(rand.NewPCG(1, uint64(i))),
			Clock:    func() time.Duration { return time.Since(start) },
			Send:     func(m request.Message) { go f.fronts[m.To.ID-1].Handle(m) },
			Node:     request.NodeConfig{Gate: request.GateConfig{Slots: 2, Queue: 1}, Registrar: request.RegistrarConfig{NewService: true}},
		}))
	}
	for _, front := range f.fronts {
		front.SetMembers(members)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = front.Serve(l) }()
		f.urls = append(f.urls, "http://"+l.Addr().String())
		ticker := time.NewTicker(5 * time.Millisecond)
		go func() {
			for range ticker.C {
				front.Step()
			}
		}()
		ginkgo.DeferCleanup(func() { ticker.Stop(); front.Close() })
	}
	Eventually(func() bool {
		complete := true
		for _, front := range f.fronts {
			complete = complete && front.State().Complete
		}
		return complete
	}).Should(BeTrue())
	return f
}

func (f *fleet) post(i int, key, body string) (*http.Response, string) {
	r, err := http.NewRequest(http.MethodPost, f.urls[i]+"/orders", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	if key != "" {
		r.Header.Set(HeaderKey, key)
	}
	return do(r)
}

func do(r *http.Request) (*http.Response, string) {
	resp, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp, string(text)
}

func outcome(r *http.Response) string { return r.Header.Get(HeaderOutcome) }

var _ = ginkgo.Describe("Front", func() {
	ginkgo.It("returns the first response to a retry through another agent", func() {
		// Guards against a retry that runs a request a second time.
		f := newFleet(3, func(w http.ResponseWriter, r *http.Request) {
			text, _ := io.ReadAll(r.Body)
			w.Header().Set("Order", "1")
			w.WriteHeader(http.StatusCreated)
			_, _ = w.Write(text)
		})
		for i := range 3 {
			resp, text := f.post(i, "key-1", "payload")
			Expect([]any{resp.StatusCode, outcome(resp), resp.Header.Get("Order"), text}).To(Equal([]any{201, "done", "1", "payload"}))
		}
		Expect(f.runs.Load()).To(Equal(int32(1)))
		f.post(0, "key-2", "payload")
		Expect(f.runs.Load()).To(Equal(int32(2)))
	})

	ginkgo.It("refuses requests with not-run while slots and queue are full, and when draining", func() {
		// Guards against a refusal from which the caller cannot conclude that the request did
		// not run.
		release := make(chan struct{})
		f := newFleet(1, func(http.ResponseWriter, *http.Request) { <-release })
		answered := make(chan string, 3)
		for range 3 {
			go func() {
				defer ginkgo.GinkgoRecover()
				resp, _ := f.post(0, "", "")
				answered <- outcome(resp)
			}()
		}
		Eventually(func() int { s := f.fronts[0].State(); return s.Running + s.Queued }).Should(Equal(3))
		resp, _ := f.post(0, "", "")
		Expect([]any{resp.StatusCode, outcome(resp), resp.Header.Get("Retry-After")}).To(Equal([]any{503, "not-run", "1"}))
		f.fronts[0].Drain()
		Expect(<-answered).To(Equal("not-run")) // the queued request
		close(release)
		Expect([]string{<-answered, <-answered}).To(Equal([]string{"done", "done"}))
		Eventually(f.fronts[0].Idle).Should(BeTrue())
		Expect(f.runs.Load()).To(Equal(int32(2)))
	})

	ginkgo.It("closes the connection when the upstream truncates its response", func() {
		// Guards against a truncated response that looks complete.
		f := newFleet(1, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("half"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		resp, err := http.Get(f.urls[0])
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		_, err = io.ReadAll(resp.Body)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	ginkgo.It("reports unknown when the upstream closes the connection before its response", func() {
		// Guards against reporting not-run for a request that reached the upstream, and
		// against net/http resending a request with a key.
		f := newFleet(1, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		resp, _ := f.post(0, "k", "")
		Expect([]any{resp.StatusCode, outcome(resp)}).To(Equal([]any{502, "unknown"}))
		Expect(f.runs.Load()).To(Equal(int32(1)))
	})

	ginkgo.It("reports not-run when the upstream is unreachable", func() {
		// Guards against reporting unknown for a request of which no byte was sent.
		f := newFleet(1, nil)
		f.fronts[0].cfg.Upstream = netip.MustParseAddrPort("127.0.0.1:1")
		resp, _ := f.post(0, "", "")
		Expect([]any{resp.StatusCode, outcome(resp)}).To(Equal([]any{503, "not-run"}))
	})

	ginkgo.It("forwards the deadline and ends a request at its deadline as unknown", func() {
		// Guards against upstreams that process requests whose callers have timed out.
		var left atomic.Value
		f := newFleet(1, func(_ http.ResponseWriter, r *http.Request) {
			left.Store(r.Header.Get(HeaderDeadline))
			<-r.Context().Done()
		})
		r, _ := http.NewRequest(http.MethodGet, f.urls[0], nil)
		r.Header.Set(HeaderDeadline, "200")
		resp, _ := do(r)
		Expect([]any{resp.StatusCode, outcome(resp)}).To(Equal([]any{504, "unknown"}))
		Expect(left.Load()).To(MatchRegexp(`^(1?\d?\d|200)$`))
		r.Header.Set(HeaderDeadline, "0")
		resp, _ = do(r)
		Expect([]any{resp.StatusCode, outcome(resp)}).To(Equal([]any{504, "not-run"}))
		r.Header.Set(HeaderDeadline, "soon")
		resp, _ = do(r)
		Expect(resp.StatusCode).To(Equal(400))
	})

	ginkgo.It("cancels the upstream request and frees the slot when the upstream has closed the connection", func() {
		// Guards against freeing the slot of a cancelled request that the upstream still
		// processes: the upstream would then process more requests than it has slots.
		canceled, unblock := make(chan struct{}), make(chan struct{})
		f := newFleet(1, func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(canceled)
			<-unblock
		})
		ctx, cancel := context.WithCancel(context.Background())
		r, _ := http.NewRequestWithContext(ctx, http.MethodGet, f.urls[0], nil)
		go func() {
			Eventually(f.runs.Load).Should(Equal(int32(1)))
			cancel()
		}()
		_, err := http.DefaultClient.Do(r)
		Expect(err).To(MatchError(context.Canceled))
		<-canceled
		Expect(f.fronts[0].State().Running).To(Equal(1))
		close(unblock)
		Eventually(f.fronts[0].Idle).Should(BeTrue())
	})

	ginkgo.It("streams large bodies in both directions and flushes events", func() {
		// Guards against bodies that are buffered completely before they are forwarded.
		large := bytes.Repeat([]byte("0123456789abcdef"), 1<<18)
		f := newFleet(1, func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPut {
				// This upstream also responds before it has read the whole body.
				_ = http.NewResponseController(w).EnableFullDuplex()
				_, _ = io.Copy(w, r.Body)
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "data: 1\n\n")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		})
		r, _ := http.NewRequest(http.MethodPut, f.urls[0], bytes.NewReader(large))
		_, text := do(r)
		Expect(text == string(large)).To(BeTrue())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		r, _ = http.NewRequestWithContext(ctx, http.MethodGet, f.urls[0], nil)
		resp, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		line, err := bufio.NewReader(resp.Body).ReadString('\n')
		Expect([]any{line, err}).To(Equal([]any{"data: 1\n", nil}))
	})

	ginkgo.It("continues to forward the request body after the response has begun", func() {
		// Guards against a front that discards the rest of a request body once the
		// upstream responds: the upstream would receive a truncated upload.
		f := newFleet(1, func(w http.ResponseWriter, r *http.Request) {
			control := http.NewResponseController(w)
			Expect(control.EnableFullDuplex()).To(Succeed())
			part := make([]byte, len("first"))
			_, _ = io.ReadFull(r.Body, part)
			_, _ = w.Write(part)
			Expect(control.Flush()).To(Succeed())
			_, _ = io.Copy(w, r.Body)
		})
		body, send := io.Pipe()
		r, _ := http.NewRequest(http.MethodPut, f.urls[0], body)
		go func() { _, _ = io.WriteString(send, "first") }()
		resp, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		part := make([]byte, len("first"))
		_, err = io.ReadFull(resp.Body, part)
		Expect([]any{string(part), err}).To(Equal([]any{"first", nil}))
		go func() {
			_, _ = io.WriteString(send, "second")
			_ = send.Close()
		}()
		rest, err := io.ReadAll(resp.Body)
		Expect([]any{string(rest), err}).To(Equal([]any{"second", nil}))
	})

	ginkgo.It("relays upgraded connections", func() {
		// Guards against parsing the bytes of the upgraded protocol as HTTP.
		f := newFleet(1, func(w http.ResponseWriter, _ *http.Request) {
			conn, rw, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = rw.WriteString("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\n")
			_ = rw.Flush()
			_, _ = io.Copy(conn, rw)
		})
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.urls[0], "http://"))
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\nping\n")
		reader := bufio.NewReader(conn)
		resp, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect([]any{resp.StatusCode, resp.Header.Get("Upgrade")}).To(Equal([]any{101, "echo"}))
		Expect(reader.ReadString('\n')).To(Equal("ping\n"))
		Expect(conn.Close()).To(Succeed())
		Eventually(f.fronts[0].Idle).Should(BeTrue())
	})
})
