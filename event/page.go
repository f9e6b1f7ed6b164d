package event

import (
	"fmt"
	"strings"
)

const pageHead = `# Log events

Programs write one logfmt line for each event, with ` + "`ts`" + ` (UTC), ` + "`level`" + `,
` + "`event`" + ` (the number below), ` + "`msg`" + ` and further pairs. This page is generated from
event/catalogue.go: ` + "`UPDATE_GOLDEN=1 go test ./event`" + ` rewrites it.

| event | level | msg | meaning |
|---|---|---|---|
`

// Page returns the content of docs/log-events.md, generated from the catalogue.
func Page() string {
	var b strings.Builder
	b.WriteString(pageHead)
	for _, d := range Catalogue {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", d.Number, d.Level, d.Text, d.Meaning)
	}
	return b.String()
}
