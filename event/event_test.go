package event_test

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/internal/spec"
)

const page = "../docs/log-events.md"

func TestEvent(t *testing.T) { spec.Run(t, "event") }

var _ = Describe("The catalogue", func() {
	// Guards against event numbers that the page does not explain.
	It("equals docs/log-events.md", func() {
		if os.Getenv("UPDATE_GOLDEN") != "" {
			Expect(os.WriteFile(page, []byte(event.Page()), 0o644)).To(Succeed())
		}
		text, err := os.ReadFile(page)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal(event.Page()))
	})

	// Guards against a number that is used for two events.
	It("is in ascending order of number", func() {
		for i := 1; i < len(event.Catalogue); i++ {
			Expect(event.Catalogue[i].Number).To(BeNumerically(">", event.Catalogue[i-1].Number))
		}
	})

	// Guards against an event that is declared but missing from the page.
	It("contains every declared event", func() {
		file, err := parser.ParseFile(token.NewFileSet(), "catalogue.go", nil, 0)
		Expect(err).NotTo(HaveOccurred())
		declared := 0
		ast.Inspect(file, func(n ast.Node) bool {
			if lit, ok := n.(*ast.CompositeLit); ok {
				if name, ok := lit.Type.(*ast.Ident); ok && name.Name == "Definition" {
					declared++
				}
			}
			return true
		})
		Expect(event.Catalogue).To(HaveLen(declared))
	})
})

var _ = Describe("The logger", func() {
	// Guards against log lines that cannot be filtered by number or level.
	It("writes number, level and pairs", func() {
		var out bytes.Buffer
		event.NewLogger(&out, "name", "b1").Log(event.Stopped, "left", 2)
		Expect(out.String()).To(MatchRegexp(`^level=info ts=\S+ name=b1 event=1002 msg=stopped left=2\n$`))
	})
})
