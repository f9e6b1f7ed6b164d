// Package spec runs the test suites of the packages with fixed seeds and compares results
// with golden files.
package spec

import (
	"flag"
	"os"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// seed fixes the order of the specs; fixRapid fixes rapid's seed. Each run is then the same.
const seed = 1

// Run runs the Ginkgo specs of a package with fixed seeds.
func Run(t *testing.T, name string) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	fixRapid()
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = seed
	ginkgo.RunSpecs(t, name, suite, reporter)
}

// Main runs the tests of a package that uses rapid outside its specs too, and exits.
// Without it, the values drawn outside the specs differ from run to run.
func Main(m *testing.M) {
	flag.Parse()
	fixRapid()
	os.Exit(m.Run())
}

// fixRapid sets rapid's seed and disables its failure files, if rapid is linked in.
func fixRapid() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := setFlag(name, value); err != nil {
			panic(err)
		}
	}
}

// SetFlag sets a flag of the test binary, if a package that declares it is linked in.
func SetFlag(t *testing.T, name, value string) {
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

// Golden compares got with the named file in testdata; UPDATE_GOLDEN=1 rewrites the file.
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
