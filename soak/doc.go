// Package soak runs the real daemons as processes on this machine, injects faults from
// outside them and checks the promises while clients use the system.
//
// Clients, upstreams, the store and the fabric are stand-ins in the soak's own process.
// Between the daemons stand proxies that delay, drop, silence and reset. Processes are
// stopped, paused, killed and restarted by signals. The oracle judges by what clients and
// upstreams see.
package soak
