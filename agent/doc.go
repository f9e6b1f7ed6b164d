// Package agent is the daemon beside an upstream: it receives encapsulated packets,
// asks flow.Table what to do with each, and delivers it to the upstream, forwards
// it to another agent or drops it. Replies of the upstream go out without passing
// a balancer. The agent announces its upstream and exchanges digests and loads
// with the other agents of the service.
package agent
