// Package quota enforces the limits of a plan across the agents of one service.
//
// A limit is a number of tokens. Agents hold the tokens and admit a new flow only
// with tokens they hold, so admission asks nobody. Tokens are conserved: they are
// issued and taken back only by the grantor, and move between holders by transfers
// that deduct before they send and add at most once. The number held and in
// transit is therefore never above what was issued, whatever messages are lost,
// duplicated, reordered or cut off.
//
// The package is a pure step library: it holds no socket, goroutine or clock. Time
// is a monotonic duration since the start of the process.
package quota
