// Package balancer is the daemon on an entry VM: it reads IP packets, chooses an
// agent for each by flow.Router and sends the packet there under an encapsulation
// header. It takes part in membership and serves the health endpoint, the control
// service and the dump.
//
// Several goroutines read packets. They share one flow.Router behind a mutex, which
// each takes once for a batch; parsing, framing and system calls, which take most of
// the time, run in parallel. A Router for each reader would need every hint in all of
// them, because the kernel spreads the packets of a flow over the readers. Routers
// for parts of the flows, each with a mutex taken for every packet, were measured and
// rejected: they decided fewer packets a second with one reader and no more with two,
// and a change of the view had to be installed in each of them.
package balancer
