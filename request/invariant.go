package request

import "fmt"

// check panics when an invariant does not hold. A process that continued could run
// a request twice.
func check(holds bool, format string, args ...any) {
	if !holds {
		panic("request: invariant violated: " + fmt.Sprintf(format, args...))
	}
}
