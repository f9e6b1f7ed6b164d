// Package balancer implements the daemon of an entry VM: it reads IP packets, selects
// an agent for each packet with flow.Router and sends the packet to the agent with an
// encapsulation header. It participates in the membership protocol and serves the
// health endpoint, the control service and the dump.
//
// Several goroutines read packets. They share one flow.Router behind a mutex, which
// each of them locks once per batch; parsing, encapsulation and system calls, which
// take most of the time, run in parallel. With one Router per reader, every hint would
// have to be stored in all of them, because the kernel distributes the packets of a
// flow over the readers. Sharding the flows over several Routers, each with a mutex
// locked for every packet, was measured and rejected: the throughput in packets per
// second was lower with one reader and no higher with two, and each change of the view
// had to be installed in every Router.
package balancer
