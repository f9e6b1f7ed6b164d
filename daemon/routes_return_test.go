package daemon

import (
	"bytes"
	"context"
	"io"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/fake"
	"github.com/nutmegtrack/nutmegtrack/finding"
	"github.com/nutmegtrack/nutmegtrack/route"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// decodeLetters decodes a document whose version is its length and whose only route is named
// like it, in capitals. It rejects a document that contains a question mark.
func decodeLetters(text []byte) (*route.Document, finding.List, error) {
	if bytes.ContainsRune(text, '?') {
		return nil, nil, errors.New("damaged")
	}
	return &route.Document{Version: int64(len(text)), Routes: []route.Route{{Name: strings.ToUpper(string(text))}}}, nil, nil
}

var _ = Describe("The routes after the store has returned from an older copy", func() {
	const key = "routes"
	var (
		now time.Duration
		log bytes.Buffer
		s   *fake.Store
		r   *Routes
		ctx = context.Background()
	)
	newRoutes := func(w io.Writer) *Routes {
		return NewRoutes(RoutesConfig{
			Log: event.NewLogger(w), Clock: func() time.Duration { return now }, Store: s, Key: key, Decode: decodeLetters,
		})
	}
	put := func(to *fake.Store, documents ...string) {
		for _, d := range documents {
			_, err := to.Txn(ctx, nil, []store.Op{{Key: key, Value: []byte(d)}})
			Expect(err).NotTo(HaveOccurred())
		}
	}
	// returns replaces the store by one that has only the given documents, with revisions that
	// have been assigned before.
	returns := func(documents ...string) {
		s = fake.NewStore(func() time.Duration { return now })
		put(s, documents...)
		r.cfg.Store = s
	}
	refresh := func() string {
		now += time.Second
		Expect(r.Refresh(ctx)).To(Succeed())
		return string(r.text)
	}
	confirmed := func() bool { return r.ConfirmedAt() == now }

	// Guards against open flows that are reset because routes count as the first ones although others were in force.
	It("are the first only if no others were in force", func() {
		Expect(r.First()).To(BeFalse(), "three documents came before")
		s = fake.NewStore(func() time.Duration { return now })
		put(s, "a")
		r = newRoutes(&log)
		Expect(r.First()).To(BeFalse(), "nothing was read")
		Expect(refresh()).To(Equal("a"))
		Expect(r.First()).To(BeTrue())
		put(s, "aa")
		Expect(refresh()).To(Equal("aa"))
		Expect(r.First()).To(BeFalse())
		returns("b")
		Expect(refresh()).To(Equal("aa"))
		Expect(r.First()).To(BeFalse(), "the store has another document")
	})

	BeforeEach(func() {
		now = 0
		log.Reset()
		s = fake.NewStore(func() time.Duration { return now })
		r = newRoutes(&log)
		put(s, "a", "aa", "aaa", "aaaa")
		Expect(refresh()).To(Equal("aaaa"))
		Expect(confirmed()).To(BeTrue())
	})

	// Guards against an acknowledged document that is never in force because its revision was
	// assigned before, lower than and equal to that of the active document.
	It("include a document whose revision was assigned before", func() {
		returns("a", "aaaaa")
		Expect(refresh()).To(Equal("aaaaa"))
		returns("a", "aaaaaa")
		Expect(refresh()).To(Equal("aaaaaa"))
		Expect(confirmed()).To(BeTrue())
	})

	// Guards against a reset of a flow by routes that count as the newest although the store may
	// have lost newer ones, against a step back, and against a line for each read.
	It("are not confirmed by an older document, which is logged once", func() {
		returns("a", "aa")
		for range 3 {
			Expect(refresh()).To(Equal("aaaa"))
			Expect(confirmed()).To(BeFalse())
		}
		Expect(strings.Count(log.String(), "event=1311")).To(Equal(1))
		Expect(log.String()).To(ContainSubstring("version 2 is lower than the active version 4"))
		put(s, "aaaa")
		Expect(refresh()).To(Equal("aaaa"))
		Expect(confirmed()).To(BeTrue(), "written again")
	})

	// Guards against packets without a route that are dropped in silence after each change of the
	// routes, until the next read.
	It("keep their confirmation through a change by the same store", func() {
		r.Step(ctx, 0, 5, netip.AddrPort{})
		Expect(r.ConfirmedAt()).To(BeZero(), "a newer document exists")
		r.installEvents([]store.Event{{KV: store.KV{Key: key, Value: []byte("aaaaa")}}})
		Expect(r.ConfirmedAt()).To(Equal(now))
	})

	// Guards against two documents in force under one version, and against a reset by the one
	// that the store no longer has.
	It("are neither replaced nor confirmed by another document of the same version", func() {
		returns("a", "bbbb")
		for range 3 {
			Expect(refresh()).To(Equal("aaaa"))
			Expect(confirmed()).To(BeFalse())
		}
		Expect(strings.Count(log.String(), "event=1311")).To(Equal(1))
		Expect(log.String()).To(ContainSubstring("another document with version 4 is active"))
		r.Confirm(now)
		Expect(confirmed()).To(BeFalse(), "by a process that has the other document")
		put(s, "bbbbb")
		Expect(refresh()).To(Equal("bbbbb"))
		now += time.Second
		r.Confirm(now)
		Expect(confirmed()).To(BeTrue())
	})

	// Guards against a document that counts as another one because it was encoded anew.
	It("are confirmed by the same document in another form", func() {
		returns("AAAA")
		refresh()
		Expect(confirmed()).To(BeTrue())
		Expect(log.String()).NotTo(ContainSubstring("event=1311"))
	})

	// Guards against routes that count as the newest although a newer document was read and
	// could not be decoded.
	It("are not confirmed by a document that cannot be decoded", func() {
		returns("a", "aaaa?")
		for range 3 {
			Expect(refresh()).To(Equal("aaaa"))
			Expect(confirmed()).To(BeFalse())
		}
		put(s, "aaaaa")
		Expect(refresh()).To(Equal("aaaaa"))
		Expect(confirmed()).To(BeTrue())
	})

	// Guards against a process that starts beside newer ones, keeps the older document and resets
	// flows by it.
	It("are fetched from a peer by a process that has read an older document", func() {
		peer := NewRoutesRPC(r)
		returns("a", "aa")
		starting := newRoutes(io.Discard)
		now += time.Second
		Expect(starting.Refresh(ctx)).To(Succeed())
		Expect(starting.Version()).To(BeEquivalentTo(2))
		starting.Step(ctx, 0, 4, netip.AddrPort{})
		Expect(starting.ConfirmedAt()).To(BeZero(), "a newer document exists")
		Expect(starting.Refresh(ctx)).To(Succeed())
		Expect(starting.ConfirmedAt()).To(BeZero(), "the store has lost the newer document")
		var reply RoutesReply
		Expect(peer.Fetch(&RoutesArgs{Above: starting.Version()}, &reply)).To(Succeed())
		starting.activateFromPeer(reply.Text, netip.AddrPort{})
		Expect(starting.Refresh(ctx)).To(Succeed())
		Expect(starting.Version()).To(BeEquivalentTo(4), "no step back")
		Expect(starting.ConfirmedAt()).To(BeZero(), "by the older document")
	})
})
