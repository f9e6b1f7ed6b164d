// Package standin holds small replacements of the platform for tests and the demo:
// the store, the fabric with its relay for control connections, clients, and
// upstreams. They serve the platform's published protocols and have switches for
// its faults.
//
// Callers and Responder are pure: they take packets and the time and return
// packets. Client and Upstream connect them to sockets. All stand-ins report what
// they observed over HTTP, so that the demo can compare their records.
package standin
