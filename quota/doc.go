// Package quota enforces the limits of a plan across the agents of one service.
//
// A limit is a number of tokens. A token is the right to one unit of a customer's
// limit: one open connection, one new connection per second or one running request.
// The holders are the agents of the service. They hold the tokens and admit a new flow
// or request only with tokens that they hold, so admission needs no other process. The
// grantor is the balancer that issues the service's tokens up to the limits, takes them
// back and recounts them. An admission lease is a holder's right to admit new flows and
// requests until a given time; the grantor extends it when the holder renews it.
//
// Tokens are conserved: only the grantor issues them and takes them back. Transfers
// move them between holders: the sender deducts the tokens before it sends them, and
// the receiver adds them at most once. The number of tokens held and in transit
// therefore never exceeds the number issued, even if messages are lost, duplicated
// or reordered, or the network is partitioned.
//
// The package is a pure step library: it has no sockets, goroutines or clock. Time
// is a monotonic duration since the start of the process.
package quota
