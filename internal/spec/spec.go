// Package spec runs the packages' test suites with fixed seeds and compares results
// with golden files.
package spec

import (
	"flag"
	"os"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// seed of the order of specs and of rapid's draws, so that each run is the same.
const seed = 1

// Run runs the specs of a package.
func Run(t *testing.T, name string) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	fixRapid()
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = seed
	ginkgo.RunSpecs(t, name, suite, reporter)
}

// Main runs the tests of a package that draws with rapid outside its specs too, and
// exits. Without it, what is drawn there depends on the run.
func Main(m *testing.M) {
	flag.Parse()
	fixRapid()
	os.Exit(m.Run())
}

// fixRapid fixes what rapid draws, when it is linked in.
func fixRapid() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := setFlag(name, value); err != nil {
			panic(err)
		}
	}
}

// Set sets a flag of the test binary when a package that declares it is linked in.
func Set(t *testing.T, name, value string) {
	if err := setFlag(name, value); err != nil {
		t.Fatal(err)
	}
}

func setFlag(name, value string) error {
	if flag.Lookup(name) == nil {
		return nil
	}
	return flag.Set(name, value)
}

// Golden compares with a file of testdata; UPDATE_GOLDEN=1 rewrites it.
func Golden(name, got string) {
	ginkgo.GinkgoHelper()
	path := "testdata/" + name
	if os.Getenv("UPDATE_GOLDEN") != "" {
		gomega.Expect(os.WriteFile(path, []byte(got), 0o644)).To(gomega.Succeed())
	}
	want, err := os.ReadFile(path)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(got).To(gomega.Equal(string(want)))
}
