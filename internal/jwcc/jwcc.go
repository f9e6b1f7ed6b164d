// Package jwcc parses JSON with comments and trailing commas.
package jwcc

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// MaxDepth is the greatest depth of arrays and objects in a text. Settings and lists have at
// most six levels.
const MaxDepth = 64

// Parse parses a text as hujson.Parse does. It rejects a text that is nested deeper than
// MaxDepth: hujson recurses once per level, and a text of 1 MB can exceed the maximum size of a
// stack, which ends the process. The errors have the form of those of hujson.
func Parse(text []byte) (hujson.Value, error) {
	if offset := firstBeyond(text, MaxDepth); offset >= 0 {
		before := text[:offset]
		return hujson.Value{}, errors.Newf("hujson: line %d, column %d: value is nested deeper than %d levels",
			1+bytes.Count(before, []byte{'\n'}), offset-bytes.LastIndexByte(before, '\n'), MaxDepth)
	}
	return hujson.Parse(text)
}

// firstBeyond returns the offset of the first array or object that is nested deeper than limit,
// or -1. It passes over strings and comments.
func firstBeyond(text []byte, limit int) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			for i++; i < len(text) && text[i] != '"'; i++ {
				if text[i] == '\\' {
					i++
				}
			}
		case '/':
			i += commentLength(text[i:])
		case '[', '{':
			if depth++; depth > limit {
				return i
			}
		case ']', '}':
			depth--
		}
	}
	return -1
}

// commentLength returns the number of bytes that follow the first one of a comment, or 0 if the
// text does not start with a comment.
func commentLength(text []byte) int {
	for _, c := range [...]struct{ start, end string }{{"//", "\n"}, {"/*", "*/"}} {
		rest, found := bytes.CutPrefix(text, []byte(c.start))
		if !found {
			continue
		}
		if n := bytes.Index(rest, []byte(c.end)); n >= 0 {
			return len(c.start) + n + len(c.end) - 1
		}
		return len(text)
	}
	return 0
}
