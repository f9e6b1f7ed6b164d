// Package load decides which new flows an upstream accepts at once, which are passed on to
// other upstreams, which wait and which are refused. It runs in the agent of the upstream.
//
// A flow carries requests. An upstream runs as many requests as it has slots, queues a few
// more and rejects the rest, and it runs queued requests in order of arrival. New flows are
// therefore kept away from an upstream whose slots are all in use, and wait at its agent,
// which can choose their order. The load patterns behind each decision:
//
//   - Random imbalance: some upstreams are busy while others are idle. A flow is passed on
//     to up to two more upstreams, in the flow's own order of upstreams, before it waits
//     (Config.MaxPasses).
//   - A slow upstream or a cold start: its slots stay in use, and new flows go elsewhere.
//   - A burst, the return of all clients after an outage, or the loss of half of the
//     upstreams: every upstream is busy. Flows wait. Those of the highest priority, which
//     the operators set, are accepted first. Within a priority, flows that can no longer be
//     answered within their latency objective come last, the oldest of them first. In strict
//     order of age every answer would be late until the backlog is gone.
//   - More load for some seconds than cold upstreams can serve: of the flows that can still
//     be answered in time the newest is accepted first. If the oldest went first, it would
//     be accepted just before its objective passes, and miss it.
//   - A fleet that comes back cold with all callers at once, and may be given only a limited rate of
//     requests: each upstream accepts no more than its rate in any sliding second (Warmup). A flow
//     waits only if it will be accepted before its client leaves, and is refused at once otherwise.
//   - More load than can be served at all: the number of waiting flows is limited to a multiple
//     of what the upstream completes within the longest wait, and the flows that would be
//     accepted last are refused at once.
//   - The return of all clients when every upstream is cold: refused clients return at once and
//     spend all of their attempts within the first second of the overload, so flows that have a
//     fair chance of being accepted wait instead (Config.Oversubscription).
//   - A lasting overload by requests on flows that stay open: they reach the upstream without
//     asking, and fill its slots before a waiting flow is accepted. Flows of a higher priority
//     are accepted beside them (Config.MaxDepth).
//   - Short requests of clients with long round trips: the upstream is given as many flows
//     beyond its slots as it completes within a round trip, as its slots would be idle
//     otherwise.
//
// The package is a pure step library: it has no sockets, goroutines or clock.
package load
