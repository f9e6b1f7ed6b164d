// Package flow places flows on upstreams and keeps each flow on the upstream
// that holds it while the fleet changes.
//
// The package is a pure step library: it holds no socket, goroutine or clock.
// Time is passed in as a monotonic duration since the start of the process.
package flow
