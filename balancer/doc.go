// Package balancer implements the daemon of an entry VM: it reads client packets (IP
// packets or datagrams of Options.Packets), selects an agent for each packet with
// flow.Router and sends the packet to the agent with an encapsulation header. It
// participates in the membership protocol and serves the health endpoint, the control
// service and the dump. It also reads the lists of customers and the operators' routes,
// stores membership records as a collector, and issues tokens as a grantor.
//
// Terms:
//
//   - The ranking of a flow is the order of the service's upstreams by a hash of the flow
//     and the upstream's ID (rendezvous hashing), which is the same in every process. The
//     flow's first choice is the highest-ranked upstream that accepts flows.
//   - The owner of a flow is the agent that has the flow in its table. A hint is an agent's
//     message that it owns a flow. The router stores these hints and, as assumed hints, its
//     own placement decisions.
//   - A shard is the part of the membership (the records of one failure domain) that the
//     domain's collector writes into one key of the store. The candidates of a domain, two
//     of its balancers, campaign for its lease key; the one that writes the key, with its
//     store lease, is the collector.
//   - The grantor of a service is a balancer that issues tokens, up to the limits of the
//     customers' plans, to the agents of the service, the holders. A recount is the
//     grantor's count of all tokens that holders have, after which lost tokens can be issued
//     again.
//   - A term is the period of one collector or one grantor. Its number is the store revision
//     of the write that started it, so a later term has a higher number. The terms of
//     collectors and of grantors are independent.
//   - Learned addresses are the service addresses that agents announce. They are used while
//     the routes cannot be read.
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
