package etcd_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/nutmegtrack/nutmegtrack/fake"
	"github.com/nutmegtrack/nutmegtrack/standin"
	"github.com/nutmegtrack/nutmegtrack/store"
	"github.com/nutmegtrack/nutmegtrack/store/etcd"
)

// randomTxn draws a transaction whose conditions hold about half of the time.
func randomTxn(t *rapid.T) ([]store.Compare, []store.Op) {
	key := rapid.SampledFrom([]string{"a", "a/1", "b", "a0"})
	var conditions []store.Compare
	for range rapid.IntRange(0, 2).Draw(t, "conditions") {
		conditions = append(conditions, store.Compare{
			Key:      key.Draw(t, "key"),
			Target:   store.CompareTarget(rapid.IntRange(0, 1).Draw(t, "target")),
			Revision: rapid.Int64Range(0, 3).Draw(t, "revision"),
		})
	}
	var writes []store.Op
	for range rapid.IntRange(0, 3).Draw(t, "writes") {
		writes = append(writes, store.Op{
			Key:    key.Draw(t, "key"),
			Value:  rapid.SliceOfN(rapid.Byte(), 1, 4).Draw(t, "value"),
			Lease:  store.LeaseID{Number: rapid.Int64Range(0, 2).Draw(t, "lease")},
			Delete: rapid.Bool().Draw(t, "delete"),
		})
	}
	return conditions, writes
}

func show(s store.Store, conditions []store.Compare, writes []store.Op) string {
	ctx := context.Background()
	result, err := s.Txn(ctx, conditions, writes)
	kvs, revision, _ := s.List(ctx, "a")
	kv, missing := s.Get(ctx, "b")
	return fmt.Sprintf("%v failed=%t list=%v at %d, get=%v missing=%t", result, err != nil, kvs, revision, kv, missing != nil)
}

var _ = Describe("the fake store and the stand-in", func() {
	// Guards against tests in virtual time that rely on behaviour of the fake which the
	// protocol does not have: both stores get the same random transactions. The stand-in is
	// a server that the client reaches over HTTP; the fake is a store within the process,
	// in virtual time.
	It("return the same results", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			ctx := context.Background()
			_, url := newStandin(standin.StoreConfig{})
			stores := []store.Store{
				newClient(etcd.Config{Endpoints: []string{url}}),
				fake.NewStore(func() time.Duration { return 0 }),
			}
			for _, s := range stores {
				if _, err := s.Grant(ctx, time.Hour); err != nil {
					t.Fatal(err)
				}
			}
			for range rapid.IntRange(1, 8).Draw(t, "transactions") {
				conditions, writes := randomTxn(t)
				fromStandin, fromFake := show(stores[0], conditions, writes), show(stores[1], conditions, writes)
				if fromStandin != fromFake {
					t.Fatalf("stand-in: %s\nfake:     %s", fromStandin, fromFake)
				}
			}
		})
	})
})
