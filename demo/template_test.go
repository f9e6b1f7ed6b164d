package demo

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/examples"
	"github.com/nutmegtrack/nutmegtrack/settings"
)

var _ = Describe("the examples", func() {
	for _, name := range Deployments() {
		// Guards against examples that the daemons reject.
		It("are valid settings of "+name, func() {
			src, err := examples.Files.ReadFile(balancerFile(name))
			Expect(err).NotTo(HaveOccurred())
			_, err = settings.ParseBalancer(balancerFile(name), src)
			Expect(err).NotTo(HaveOccurred())
			s, err := loadSpec(name)
			Expect(err).NotTo(HaveOccurred())
			load := s.load(1)
			Expect(load.Check()).To(Succeed())
		})
	}
})

var _ = Describe("a filled template", func() {
	// Guards against a patch that removes comments or changes another field.
	It("keeps comments and changes only the named fields", func() {
		src := "{\n  // why\n  \"a\": 1,\n  \"b\": {\"c\": \"x\"},\n}\n"
		out, err := fillTemplate([]byte(src), map[string]any{"/b/c": "y"})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(out)).To(Equal(strings.Replace(src, `"x"`, `"y"`, 1)))
	})

	It("is refused when a parent field is missing", func() {
		_, err := fillTemplate([]byte("{}"), map[string]any{"/b/c": "y"})
		Expect(err).To(HaveOccurred())
	})
})
