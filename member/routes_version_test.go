package member_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/member"
)

var _ = Describe("the version of the routes", func() {
	// Guards against a version that counts as confirmed because an earlier one was, by a store that
	// has returned from an older copy.
	It("does not take over the confirmation of an earlier version", func() {
		n := member.NewNode(member.Config{}, newFleet(1).record("b1", "", "fd0"), rand.New(rand.NewPCG(1, 1)))
		n.Step(10 * time.Second)
		n.SetRoutes(13, 10*time.Second)
		n.Handle(10*time.Second, member.Message{Kind: member.KindPush, Routes: 16, RoutesAge: 4000})
		version, _ := n.Routes()
		Expect(version).To(BeEquivalentTo(16))
		Expect(n.RoutesChecked()).To(Equal(6 * time.Second))
		n.SetRoutes(13, 10*time.Second)
		n.Handle(10*time.Second, member.Message{Kind: member.KindPush, Routes: 13})
		Expect(n.RoutesChecked()).To(Equal(6 * time.Second))
		n.SetRoutes(16, 8*time.Second)
		Expect(n.RoutesChecked()).To(Equal(8 * time.Second))
	})
})
