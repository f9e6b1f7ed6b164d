// Package packet parses and builds the IP packets that nutmegtrack carries, and
// the encapsulation header under which a packet travels from a balancer to an
// agent or between agents.
//
// Parsing never allocates and never panics: malformed input yields one of the
// package's error variables, so that callers can count drops by reason.
package packet
