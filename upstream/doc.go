// Package upstream tracks the state of an agent's upstream from its announcements, its
// packets and checks whether its process is running: whether it is running, accepts
// flows, drains, leaves or has failed, and whether it has restarted.
//
// The package does no I/O: it has no sockets, goroutines or clock. Time is passed in
// as a monotonic duration since the start of the process.
package upstream
