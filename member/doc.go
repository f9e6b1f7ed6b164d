// Package member implements the membership protocol: it distributes the list of
// balancers and upstreams and their states to all processes without the store.
//
// The package does no I/O: it has no sockets, goroutines or clock. Time is passed
// in as a monotonic duration since the start of the process. The caller executes
// the returned calls and passes their outcomes back.
package member
