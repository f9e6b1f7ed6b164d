// Package quota enforces the limits of a plan across the agents of one service.
//
// A limit is a number of tokens. Agents hold the tokens and admit a new flow only
// with tokens that they hold, so admission needs no other process. Tokens are
// conserved: only the grantor issues them and takes them back. Transfers move them
// between holders: the sender deducts the tokens before it sends them, and the
// receiver adds them at most once. The number of tokens held and in transit therefore
// never exceeds the number issued, even if messages are lost, duplicated or
// reordered, or the network is partitioned.
//
// The package is a pure step library: it has no sockets, goroutines or clock. Time
// is a monotonic duration since the start of the process.
package quota
