package settings

import (
	"bytes"
	"encoding/json"
	"regexp"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/internal/jwcc"
)

// overrides are the fields that Override has set, in the form in which they are added to a file.
var overrides []byte

var assignment = regexp.MustCompile(`^([a-z_]+)=(.+)$`)

// Override sets top-level fields of all settings files that are loaded later, in addition to those in the
// file, as on the command line of a daemon. An assignment is a field's name, "=" and its value in JSON; an empty
// one is ignored, so that a platform may fill in nothing. Call it before any settings are loaded. A field
// that is also in the file is reported as a duplicate when the file is loaded.
func Override(assignments []string) error {
	var out bytes.Buffer
	for _, a := range assignments {
		if a == "" {
			continue
		}
		m := assignment.FindStringSubmatch(a)
		if m == nil || !json.Valid([]byte(m[2])) {
			return errors.Newf("%q is not of the form field=value with a value in JSON", a)
		}
		out.WriteString(`"` + m[1] + `": ` + m[2] + `, `)
	}
	overrides = out.Bytes()
	return nil
}

// withOverrides returns the text of a settings file with the fields of Override, at the start of its object, so
// that the lines of findings are those of the file. A text that cannot be parsed is returned unchanged.
func withOverrides(src []byte) []byte {
	root, err := jwcc.Parse(src)
	if err != nil || len(overrides) == 0 || src[root.StartOffset] != '{' {
		return src
	}
	at := root.StartOffset + 1
	return bytes.Join([][]byte{src[:at], overrides, src[at:]}, nil)
}
