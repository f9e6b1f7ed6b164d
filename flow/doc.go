// Package flow places flows on upstreams and keeps each flow on the upstream that owns it
// while the fleet changes.
//
// The package is a pure step library without sockets, goroutines and clocks. The caller
// passes in the time as a monotonic duration since the start of the process.
package flow
