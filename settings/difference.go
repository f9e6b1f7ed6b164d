package settings

import "reflect"

// Differences returns the paths of the fields that differ between a and b, in the order
// of the struct.
func Differences[T Balancer | Agent](a, b *T) []string {
	return differences(reflect.ValueOf(a).Elem(), reflect.ValueOf(b).Elem(), "")
}

func differences(a, b reflect.Value, path string) (out []string) {
	for i := range a.NumField() {
		name := join(path, a.Type().Field(i).Tag.Get("json"))
		x, y := a.Field(i), b.Field(i)
		switch {
		case x.Kind() == reflect.Struct && x.Type() != addrPortType:
			out = append(out, differences(x, y, name)...)
		case !reflect.DeepEqual(x.Interface(), y.Interface()):
			out = append(out, name)
		}
	}
	return out
}
