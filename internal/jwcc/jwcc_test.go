package jwcc_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tailscale/hujson"

	"github.com/nutmegtrack/nutmegtrack/internal/jwcc"
	"github.com/nutmegtrack/nutmegtrack/internal/spec"
)

func TestJWCC(t *testing.T) { spec.Run(t, "jwcc") }

var _ = Describe("Parse", func() {
	nested := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

	// Guards against a process that ends for a text whose nesting exceeds the stack.
	DescribeTable("rejects deep nesting with its position", func(text, position string) {
		_, err := jwcc.Parse([]byte(text))
		Expect(err).To(MatchError(ContainSubstring(position + ": value is nested deeper than 64 levels")))
	},
		Entry("one level too many", nested(65), "line 1, column 65"),
		Entry("1,000,000 arrays", strings.Repeat("[", 1_000_000), "line 1, column 65"),
		Entry("1,000,000 objects", "{\n"+strings.Repeat(`"a":{`, 1_000_000), "line 2, column 320"),
		Entry("after a string, an escape and comments", "/* [ */ // ]\n[\"]\\\\\\\"\", "+nested(64)+"]", "line 2, column 74"),
	)

	// Guards against a text that is rejected for brackets in strings and comments.
	DescribeTable("accepts what hujson accepts", func(text string) {
		want, err := hujson.Parse([]byte(text))
		Expect(err).NotTo(HaveOccurred())
		Expect(jwcc.Parse([]byte(text))).To(Equal(want))
	},
		Entry("64 levels", nested(64)),
		Entry("a string", `"`+nested(70)+`\"`+nested(70)+`"`),
		Entry("a line comment", "// "+nested(70)+"\"\n[1,]"),
		Entry("a block comment", "/* "+strings.Repeat("[", 70)+"\" */[/**/1]"),
	)
})

// FuzzParse guards against a text that the check of the depth changes the meaning of.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{`{"a":[1,/*[*/2,],}`, "//[\n[]", `"\"["`, strings.Repeat("[", 10_000), "/*", `"\`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if len(text) > 1000 {
			return
		}
		_, want := hujson.Parse(text)
		_, err := jwcc.Parse(text)
		if (err == nil) != (want == nil) && !strings.Contains(err.Error(), "nested deeper") {
			t.Fatalf("%v, hujson %v", err, want)
		}
	})
}
