// Package member is the membership protocol: which balancers and upstreams there
// are, in which state, and how all processes learn it without the store.
//
// The package is a pure step library: it holds no socket, goroutine or clock.
// Time is passed in as a monotonic duration since the start of the process. The
// daemon executes the returned calls and passes their outcomes back.
package member
