// Package evacuate keeps a process's copy of the operators' orders to evacuate failure domains: which
// domains are to receive no new flows, and since which revision of the store that is known.
//
// The package is a pure step library: it has no sockets, goroutines or clock.
package evacuate
