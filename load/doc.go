// Package load decides, beside one upstream, which new flows it takes at once, which
// are passed on to other upstreams, which wait and which are refused.
//
// A flow brings requests. An upstream runs as many as it has slots, queues a few more
// and rejects the rest, and what it has queued it runs in the order of arrival. So new
// flows are kept away from an upstream whose slots are taken, and wait beside it, where
// the order can be chosen. The load patterns behind each decision:
//
//   - Chance: some upstreams are busy while others are idle. A flow is passed on to up
//     to two more upstreams of its ranking before it waits (Config.PassOn).
//   - A slow upstream, a cold start: its slots stay taken, and new flows go elsewhere.
//   - A burst, the return of all clients after an outage, half of the upstreams gone:
//     every upstream is busy. Flows wait; what the operators rank first is taken first,
//     then what can still be answered within its latency objective, then the oldest.
//     Serving strictly by age would make every answer late until the backlog is gone.
//   - More than can be served for some seconds, by cold upstreams: of what can still be
//     answered in time the newest is taken first. The oldest first would be taken when
//     its objective is about to pass, and miss it.
//   - More than can be served at all: no more flows wait than the upstream works off within
//     the longest wait, and what ranks last is refused at once.
//   - Short requests of clients that are far away: the upstream is given as many flows beyond
//     its slots as it works off within a round trip, or its slots would be idle.
//
// The package is a pure step library: it holds no socket, goroutine or clock.
package load
