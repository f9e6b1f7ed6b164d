package etcd_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/internal/spec"
	"github.com/nutmegtrack/nutmegtrack/standin"
	"github.com/nutmegtrack/nutmegtrack/store"
	"github.com/nutmegtrack/nutmegtrack/store/etcd"
)

func TestEtcd(t *testing.T) {
	spec.SetFlag(t, "rapid.checks", "60") // each case starts a server
	spec.Run(t, "store/etcd")
}

// serve starts a handler on a loopback port for the duration of the spec.
func serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

func newStandin(cfg standin.StoreConfig) (*standin.StoreServer, string) {
	s := standin.NewStoreServer(cfg)
	url := serve(s)
	DeferCleanup(s.Close)
	return s, url
}

func newClient(cfg etcd.Config) *etcd.Client {
	c, err := etcd.New(cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return c
}

func put(c store.Store, key, value string) (store.TxnResult, error) {
	return putWith(context.Background(), c, key, value)
}

func putWith(ctx context.Context, c store.Store, key, value string) (store.TxnResult, error) {
	return c.Txn(ctx, nil, []store.Op{{Key: key, Value: []byte(value)}})
}
