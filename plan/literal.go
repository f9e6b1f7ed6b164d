package plan

import (
	"bytes"

	"github.com/tailscale/hujson"
)

// literalString returns the text of a string literal, or "" for another value.
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

// literalIs compares a string literal without allocation where it has no escapes.
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

// unescaped returns the text between the quotes when it is the literal's value as it
// stands: ASCII without escapes.
func unescaped(literal hujson.Literal) ([]byte, bool) {
	plain := literal[1 : len(literal)-1]
	special := bytes.ContainsFunc(plain, func(r rune) bool { return r == '\\' || r > 126 })
	return plain, !special
}
