package settings

import (
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// fieldByName returns the struct field with the JSON name; case matters.
func fieldByName(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if f := t.Field(i); f.Tag.Get("json") == name {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

// applyDefaults sets the defaults of all fields of a struct.
func applyDefaults(out reflect.Value) {
	for i := range out.NumField() {
		applyDefault(out.Field(i), out.Type().Field(i).Tag)
	}
}

func applyDefault(out reflect.Value, tag reflect.StructTag) {
	if out.Kind() == reflect.Struct && out.Type() != addrPortType {
		applyDefaults(out)
		return
	}
	text := tag.Get("default")
	if text == "" {
		return
	}
	switch out.Kind() {
	case reflect.String:
		out.SetString(text)
	case reflect.Int:
		n, _ := strconv.ParseInt(text, 10, 64)
		out.SetInt(n)
	case reflect.Float64:
		n, _ := strconv.ParseFloat(text, 64)
		out.SetFloat(n)
	}
}

// bounds returns the inclusive range that the tag allows.
func bounds(tag reflect.StructTag) (low, high float64) {
	low, high = math.Inf(-1), math.Inf(1)
	if n, err := strconv.ParseFloat(tag.Get("min"), 64); err == nil {
		low = n
	}
	if n, err := strconv.ParseFloat(tag.Get("max"), 64); err == nil {
		high = n
	}
	return low, high
}

func contains(list []string, s string) bool { return slices.Contains(list, s) }

func quoted(list []string) string {
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = strconv.Quote(s)
	}
	return strings.Join(out, ", ")
}

func numberName(integer bool) string {
	if integer {
		return "an integer"
	}
	return "a number"
}

func kindName(k hujson.Kind) string {
	switch k {
	case 'n':
		return "null"
	case 't', 'f':
		return "a boolean"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case '{':
		return "an object"
	case '[':
		return "an array"
	}
	return "an unknown value"
}
