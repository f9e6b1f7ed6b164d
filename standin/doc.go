// Package standin provides stand-ins for the platform in tests and the demo: the
// store, the fabric with its relay for control connections, clients, and
// upstreams. They implement the platform's published protocols and can inject its
// faults.
//
// LoadGenerator and Responder perform no I/O: they take packets and the current
// time and return packets. Client and Upstream connect them to sockets. All stand-ins report
// what they observed over HTTP, so that the demo can compare their records.
package standin
