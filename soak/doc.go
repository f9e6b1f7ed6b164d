// Package soak runs the real daemons as processes on this machine, injects faults from
// outside and checks the guarantees of the system under load.
//
// Clients, upstreams, the store and the fabric are stand-ins in the soak's own process.
// Traffic between the daemons passes through proxies that delay, drop and black-hole it and
// reset connections. Processes are stopped, paused, killed and restarted by signals. The
// oracle checks the guarantees by the observations of clients and upstreams.
package soak
