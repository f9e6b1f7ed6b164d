package settings

import (
	"reflect"
	"strings"
)

// Field describes one settings field for the reference page.
type Field struct {
	Path     string // such as "service.endpoints[].address"
	Type     string // "string", "integer", "number", "address", "array of ..."
	Default  string // empty when there is none
	Required bool
	Range    string // "min to max" or the allowed values; empty when unbounded
}

// BalancerFields lists all fields of a balancer's settings file.
func BalancerFields() []Field { return fieldsOf(reflect.TypeFor[Balancer](), "") }

// AgentFields lists all fields of an agent's settings file.
func AgentFields() []Field { return fieldsOf(reflect.TypeFor[Agent](), "") }

func fieldsOf(t reflect.Type, path string) []Field {
	var out []Field
	for i := range t.NumField() {
		f := t.Field(i)
		name := join(path, f.Tag.Get("json"))
		element, list := f.Type, f.Type.Kind() == reflect.Slice
		if list {
			element = f.Type.Elem()
		}
		if element.Kind() == reflect.Struct && element != addrPortType {
			if list {
				name += "[]"
			}
			out = append(out, fieldsOf(element, name)...)
			continue
		}
		out = append(out, describe(f, name, element, list))
	}
	return out
}

func describe(f reflect.StructField, name string, element reflect.Type, list bool) Field {
	kind := typeName(element)
	if list {
		kind = "array of " + kind
	}
	limits := strings.ReplaceAll(f.Tag.Get("oneof"), " ", ", ")
	if f.Tag.Get("min") != "" {
		limits = f.Tag.Get("min") + " to " + f.Tag.Get("max")
	}
	return Field{
		Path:     name,
		Type:     kind,
		Default:  f.Tag.Get("default"),
		Required: f.Tag.Get("required") != "",
		Range:    limits,
	}
}

func typeName(t reflect.Type) string {
	switch {
	case t == addrPortType:
		return "address"
	case t.Kind() == reflect.Int:
		return "integer"
	case t.Kind() == reflect.Float64:
		return "number"
	}
	return "string"
}
