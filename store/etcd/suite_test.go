package etcd_test

import (
	"context"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/standin"
	"github.com/nutmegtrack/nutmegtrack/store"
	"github.com/nutmegtrack/nutmegtrack/store/etcd"
)

func TestEtcd(t *testing.T) {
	RegisterFailHandler(Fail)
	fixSeeds(t)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "store/etcd", suite, reporter)
}

// fixSeeds makes rapid's draws the same in each run, and bounds the number of
// cases, each of which starts a server.
func fixSeeds(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
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
	return c.Txn(context.Background(), nil, []store.Op{{Key: key, Value: []byte(value)}})
}

// golden compares with a file of testdata; UPDATE_GOLDEN=1 rewrites it.
func golden(name, got string) {
	GinkgoHelper()
	path := "testdata/" + name
	if os.Getenv("UPDATE_GOLDEN") != "" {
		Expect(os.WriteFile(path, []byte(got), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(got).To(Equal(string(want)))
}
