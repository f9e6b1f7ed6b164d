// Package route holds what operators say of the services' addresses: which service
// the flows to each address go to, and how the requests on them may be treated.
//
// A document replaces the one before as a whole. Documents have versions, and a
// process never goes back to a lower one.
package route
