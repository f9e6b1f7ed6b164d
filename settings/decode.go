package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/nutmegtrack/nutmegtrack/finding"
)

var addrPortType = reflect.TypeFor[netip.AddrPort]()

// decoder decodes a syntax tree into a settings struct. It continues after a finding,
// so that one report contains all of them.
type decoder struct {
	file    string
	src     []byte
	found   *finding.List
	offsets map[string]int // by field path: the byte offset of its value
}

func (d *decoder) finding(offset int, field, message string) finding.Finding {
	line, column := position(d.src, offset)
	return finding.Finding{File: d.file, Line: line, Column: column, Field: field, Message: message}
}

func (d *decoder) report(offset int, field, format string, args ...any) {
	d.found.Add(d.finding(offset, field, fmt.Sprintf(format, args...)))
}

// value decodes v into out. tag holds the constraints of the struct field.
func (d *decoder) value(v *hujson.Value, out reflect.Value, path string, tag reflect.StructTag) {
	switch {
	case out.Type() == addrPortType:
		d.address(v, out, path)
	case out.Kind() == reflect.Struct:
		d.object(v, out, path)
	case out.Kind() == reflect.Slice:
		d.array(v, out, path, tag)
	default:
		d.scalar(v, out, path, tag)
	}
}

func (d *decoder) object(v *hujson.Value, out reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.report(v.StartOffset, path, "expected an object, got %s", kindName(v.Value.Kind()))
		applyDefaults(out)
		return
	}
	seen := map[string]bool{}
	for i := range object.Members {
		m := &object.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		field, ok := fieldByName(out.Type(), name)
		switch {
		case !ok:
			d.report(m.Name.StartOffset, join(path, name), "unknown field")
		case seen[name]:
			d.report(m.Name.StartOffset, join(path, name), "duplicate field")
		default:
			d.offsets[join(path, name)] = m.Value.StartOffset
			d.value(&m.Value, out.FieldByIndex(field.Index), join(path, name), field.Tag)
		}
		seen[name] = true
	}
	d.absent(v.StartOffset, out, path, seen)
}

// absent applies the defaults of the fields that an object does not contain, and
// reports those that are required.
func (d *decoder) absent(offset int, out reflect.Value, path string, seen map[string]bool) {
	for i := range out.NumField() {
		field := out.Type().Field(i)
		name := field.Tag.Get("json")
		if seen[name] {
			continue
		}
		if field.Tag.Get("required") != "" {
			d.report(offset, join(path, name), "is required")
		}
		applyDefault(out.Field(i), field.Tag)
	}
}

func (d *decoder) array(v *hujson.Value, out reflect.Value, path string, tag reflect.StructTag) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.report(v.StartOffset, path, "expected an array, got %s", kindName(v.Value.Kind()))
		return
	}
	if len(array.Elements) == 0 && tag.Get("required") != "" && tag.Get("empty") == "" {
		d.report(v.StartOffset, path, "must have at least one element")
	}
	out.Set(reflect.MakeSlice(out.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		d.value(&array.Elements[i], out.Index(i), fmt.Sprintf("%s[%d]", path, i), "")
	}
}

func (d *decoder) address(v *hujson.Value, out reflect.Value, path string) {
	text, ok := d.text(v, path)
	if !ok {
		return
	}
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		d.report(v.StartOffset, path, "expected an IP address and port such as \"10.0.0.1:7000\" or \"[2001:db8::1]:7000\", got %q", text)
		return
	}
	out.Set(reflect.ValueOf(addr))
}

func (d *decoder) scalar(v *hujson.Value, out reflect.Value, path string, tag reflect.StructTag) {
	switch out.Kind() {
	case reflect.String:
		text, ok := d.text(v, path)
		if !ok {
			return
		}
		if text == "" && tag.Get("required") != "" {
			d.report(v.StartOffset, path, "must not be empty")
		}
		if allowed := strings.Fields(tag.Get("oneof")); len(allowed) > 0 && !contains(allowed, text) {
			d.report(v.StartOffset, path, "expected one of %s, got %q", quoted(allowed), text)
		}
		out.SetString(text)
	case reflect.Int:
		if n, ok := d.number(v, path, tag, true); ok {
			out.SetInt(int64(n))
		}
	case reflect.Float64:
		if n, ok := d.number(v, path, tag, false); ok {
			out.SetFloat(n)
		}
	default:
		panic("settings: field " + path + " has an unsupported type")
	}
}

func (d *decoder) text(v *hujson.Value, path string) (string, bool) {
	if v.Value.Kind() != '"' {
		d.report(v.StartOffset, path, "expected a string, got %s", kindName(v.Value.Kind()))
		return "", false
	}
	return v.Value.(hujson.Literal).String(), true
}

func (d *decoder) number(v *hujson.Value, path string, tag reflect.StructTag, integer bool) (float64, bool) {
	if v.Value.Kind() != '0' {
		d.report(v.StartOffset, path, "expected a number, got %s", kindName(v.Value.Kind()))
		return 0, false
	}
	raw := string(v.Value.(hujson.Literal))
	n, err := strconv.ParseFloat(raw, 64)
	if err == nil && integer {
		_, err = strconv.ParseInt(raw, 10, 64)
	}
	if err != nil {
		d.report(v.StartOffset, path, "expected %s, got %s", numberName(integer), raw)
		return 0, false
	}
	low, high := bounds(tag)
	if n < low || n > high {
		d.report(v.StartOffset, path, "expected a number from %s to %s, got %s", tag.Get("min"), tag.Get("max"), raw)
	}
	return n, true
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
