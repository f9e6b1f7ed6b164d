// Package route defines the routes that operators configure: to which service the
// flows to each address go, and how their requests may be handled.
//
// A document replaces the previous document completely. Documents are versioned, and
// a process never returns to a lower version.
package route
