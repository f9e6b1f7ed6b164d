package plan

import (
	"bytes"

	"github.com/tailscale/hujson"
)

// literalString returns the value of a string literal, or "" for another kind of value.
func literalString(v *hujson.Value) string {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return ""
	}
	if plain, ok := unescaped(literal); ok {
		return string(plain)
	}
	return literal.String()
}

// literalIs reports whether v is a string literal with the value text. It does not allocate
// for ASCII literals without escapes.
func literalIs(v *hujson.Value, text string) bool {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return false
	}
	if plain, ok := unescaped(literal); ok {
		return string(plain) == text
	}
	return literal.String() == text
}

// unescaped returns the text between the quotes, and whether it equals the literal's
// value, which is the case for ASCII without escapes.
func unescaped(literal hujson.Literal) ([]byte, bool) {
	plain := literal[1 : len(literal)-1]
	special := bytes.ContainsFunc(plain, func(r rune) bool { return r == '\\' || r > 126 })
	return plain, !special
}
