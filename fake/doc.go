// Package fake holds fakes in virtual time for tests: the same interfaces as the
// real parts, and switches for their faults.
package fake
