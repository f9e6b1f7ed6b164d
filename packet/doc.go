// Package packet parses and builds the IP packets that nutmegtrack forwards, defines the
// interface of the other packet format (see Format), and encodes the header that encapsulates
// packets of both on the way from a balancer to an agent or between agents.
//
// Parsing an IP packet never allocates, and no function panics on malformed input: it
// returns one of the package's error variables, so that callers can count drops by reason.
package packet
