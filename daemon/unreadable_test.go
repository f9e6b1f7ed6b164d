package daemon_test

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/store"
)

var _ = Describe("The log of unreadable entries", func() {
	// Guards against a line at each read, a line as long as the entry, and other content or a
	// relapse that is not logged.
	It("has one short line for each content of a key", func() {
		var log bytes.Buffer
		u := daemon.NewUnreadableLog(event.NewLogger(&log))
		lines := func() int { return strings.Count(log.String(), "event=1308") }
		odd, other := store.KV{Key: "k", Value: []byte("x")}, store.KV{Key: "k", Value: []byte("y")}
		failure := errors.New(strings.Repeat("long", 1000))
		for range 3 {
			u.Log(odd, failure)
		}
		Expect(lines()).To(Equal(1))
		Expect(log.Len()).To(BeNumerically("<", 500))
		u.Log(other, failure)
		Expect(lines()).To(Equal(2))
		u.Log(other, nil)
		u.Log(other, failure)
		Expect(lines()).To(Equal(3))
		u.Log(store.KV{Key: "l", Value: []byte("y")}, failure)
		Expect(lines()).To(Equal(4))
	})
})
