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
	Set(t, "rapid.seed", "1")
	Set(t, "rapid.nofailfile", "true")
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = seed
	ginkgo.RunSpecs(t, name, suite, reporter)
}

// Set sets a flag of the test binary when a package that declares it is linked in.
func Set(t *testing.T, name, value string) {
	if flag.Lookup(name) == nil {
		return
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
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
