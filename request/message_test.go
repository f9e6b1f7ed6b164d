package request

import (
	"bytes"
	"encoding/gob"
	"math"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("Message", func() {
	ginkgo.It("estimates the encoded size to within a fifth", func() {
		// Guards against control traffic that meets its limit only by the estimate.
		p := Process{ID: math.MaxUint32, Incarnation: math.MaxUint64}
		a := AttemptID{Number: math.MaxUint64, Agent: p.ID, Incarnation: p.Incarnation}
		k := KeyOf("service", "customer", "key")
		var records []Record
		var list []Member
		for i := range 50 {
			records = append(records, Record{Key: k, Attempt: a, Left: time.Minute})
			m := member(i)
			m.ID, m.Incarnation, m.FailureDomain = p.ID, p.Incarnation, "lk-west-1" // names are hashed to all 32 bits
			list = append(list, m)
		}
		messages := []Message{
			{Kind: KindClaim, From: p, To: p, Key: k, Attempt: a, Pair: Pair{{p, 1}, {p, 1}}},
			{Kind: KindRelease, From: p, To: p, Key: k, Attempt: a},
			{Kind: KindFind, From: p, To: p, Key: k, Attempt: a, Other: a},
			{Kind: KindPull, From: p, To: p, View: math.MaxUint64, Complete: math.MaxUint64},
			{Kind: KindPullReply, From: p, To: p, View: 1, Records: records},
			{Kind: KindPullReply, From: p, To: p, View: 1, Histories: []History{{Members: list}}},
		}
		var wire bytes.Buffer
		encoder := gob.NewEncoder(&wire)
		Expect(encoder.Encode(&messages[4])).To(Succeed()) // transmits the type definitions
		for _, m := range messages {
			wire.Reset()
			Expect(encoder.Encode(&m)).To(Succeed())
			size := m.Size() - callBytes
			Expect(size).To(BeNumerically("~", wire.Len(), wire.Len()/5), "kind %d", m.Kind)
		}
	})
})
