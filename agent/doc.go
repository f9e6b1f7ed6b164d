// Package agent implements the daemon beside an upstream. It receives encapsulated
// packets, asks flow.Table what to do with each, and delivers it to the upstream,
// forwards it to another agent or drops it. Replies of the upstream bypass the
// balancers. The agent announces its upstream to the balancers and exchanges digests
// and loads with the other agents of the service.
package agent
