package request

import "fmt"

// check panics if an invariant does not hold: a process that continued could run a
// request twice.
func check(holds bool, format string, args ...any) {
	if !holds {
		panic("request: invariant violated: " + fmt.Sprintf(format, args...))
	}
}
