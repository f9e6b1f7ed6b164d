// Package control connects the processes of nutmegtrack: a net/rpc server and
// client over TCP with timeouts, bounded connections and byte counts, and the
// Dump service that returns a process's state as JSON.
package control
