// Package control implements RPC between the processes of nutmegtrack: a net/rpc
// server and client over TCP with timeouts, a connection limit and byte counters, and
// the Dump service, which returns the state of a process as JSON.
package control
