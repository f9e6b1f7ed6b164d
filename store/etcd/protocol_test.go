package etcd_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/internal/spec"
	"github.com/nutmegtrack/nutmegtrack/store"
	"github.com/nutmegtrack/nutmegtrack/store/etcd"
)

// published holds responses as the protocol's documentation shows them, by path.
var published = map[string]string{
	"/v3/kv/range":        `{"header":{"cluster_id":"1","revision":"9007199254740993","raft_term":"2"},"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"9007199254740993","version":"2","value":"YmFy","lease":"7"}],"count":"1"}`,
	"/v3/kv/txn":          `{"header":{"revision":"9007199254740995"},"succeeded":true,"responses":[{"response_put":{"header":{"revision":"9007199254740995"}}}]}`,
	"/v3/lease/grant":     `{"header":{"revision":"4"},"ID":"7587848390000000001","TTL":"10"}`,
	"/v3/lease/keepalive": `{"result":{"header":{"revision":"4"},"ID":"7587848390000000001","TTL":"10"}}`,
	"/v3/lease/revoke":    `{"header":{"revision":"5"}}`,
	"/v3/watch": `{"result":{"header":{"revision":"4"},"created":true}}
{"result":{"header":{"revision":"6"},"events":[{"kv":{"key":"Zm9v","create_revision":"5","mod_revision":"5","version":"1","value":"YmFy"}},{"type":"DELETE","kv":{"key":"Zm9v","mod_revision":"6"}}]}}
`,
}

var _ = Describe("the published protocol", func() {
	// Guards against a client and a stand-in that agree with each other but not with
	// the protocol: requests are compared with a golden file, responses are literals.
	It("matches the client's requests and the responses that it decodes", func() {
		var sent strings.Builder
		url := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			sent.WriteString(r.Method + " " + r.URL.Path + " " + string(body) + "\n")
			io.WriteString(w, published[r.URL.Path])
		}))
		c := newClient(etcd.Config{Endpoints: []string{url}})
		ctx := context.Background()

		kv, err := c.Get(ctx, "foo")
		Expect(err).NotTo(HaveOccurred())
		Expect(kv).To(Equal(store.KV{Key: "foo", Value: []byte("bar"), CreateRevision: 2, ModRevision: 1<<53 + 1, Lease: store.LeaseID{Number: 7}}))
		_, revision, err := c.List(ctx, "members/")
		Expect(err).NotTo(HaveOccurred())
		Expect(revision).To(Equal(int64(1<<53 + 1)))
		result, err := c.Txn(ctx,
			[]store.Compare{{Key: "a", Revision: 3}, {Key: "b", Target: store.CompareCreate}},
			[]store.Op{{Key: "a", Value: []byte("x"), Lease: store.LeaseID{Number: 7}}, {Key: "b", Delete: true}})
		Expect(err).NotTo(HaveOccurred())
		Expect(result).To(Equal(store.TxnResult{Succeeded: true, Revision: 1<<53 + 3}))
		id, err := c.Grant(ctx, 9500*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.KeepAlive(ctx, id)).To(Equal(10 * time.Second))
		Expect(c.Revoke(ctx, id)).To(Succeed())

		events, err := c.Watch(ctx, "foo", 5)
		Expect(err).NotTo(HaveOccurred())
		Expect((<-events).Revision).To(Equal(int64(5)))
		deletion := <-events
		Expect(deletion.Revision).To(Equal(int64(6)))
		Expect(deletion.Events).To(Equal([]store.Event{{KV: store.KV{Key: "foo", ModRevision: 6}, Deleted: true}}))
		Expect((<-events).Err).To(MatchError(store.ErrUnavailable))
		spec.Golden("requests.golden", sent.String())
	})
})
