// Package upstream follows the one upstream beside an agent by its announcements:
// whether it runs, accepts flows, drains or has ended, and when it started anew.
//
// The package is a pure step library: it holds no socket, goroutine or clock. Time is
// passed in as a monotonic duration since the start of the process.
package upstream
