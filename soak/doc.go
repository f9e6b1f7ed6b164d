// Package soak runs the real daemons as processes on this machine, injects faults from
// outside and checks the guarantees of the system under load.
//
// Clients, the store and the servers, which are the processes of the upstreams, are
// stand-ins of package platform/standin in the soak's own process; the fabric is the soak's
// own. Traffic between the daemons passes through proxies that delay, drop and black-hole it and
// reset connections. Processes are stopped, paused, killed and restarted by signals. The
// oracle checks the guarantees from what clients and servers observe:
//
//   - The packets of a flow reach the server that holds it.
//   - A flow is not reset while its server runs.
//   - No request runs twice.
//   - Packets reach only servers of their service, and arrive unchanged.
//   - A client gets only answers to its own requests.
//   - A server gets no new flows after its drain has taken effect.
//   - A route change takes effect for new flows.
//   - No process goes back to an older version of the routes.
//   - After the last fault, requests are answered again.
package soak
