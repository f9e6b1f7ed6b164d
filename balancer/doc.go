// Package balancer is the daemon on an entry VM: it reads IP packets, chooses an
// agent for each by flow.Router and sends the packet there under an encapsulation
// header. It takes part in membership and serves the health endpoint, the control
// service and the dump.
//
// Routing is sharded by flow key. A shard is one flow.Router behind a mutex, and
// every reader goroutine may use every shard: all packets of a flow and its hint
// meet in the same shard whichever reader received them. The alternative, one
// Router for each reader, would need each hint in all of them, because the kernel
// and the fabric spread the packets of a flow over the readers.
package balancer
