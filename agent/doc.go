// Package agent implements the daemon beside an upstream. It receives encapsulated
// packets, calls flow.Table to decide on each, and delivers it to the upstream, forwards
// it to another agent, buffers it, answers it with a reset or drops it. Replies of the
// upstream bypass the balancers. The agent announces its upstream to the balancers and
// exchanges digests and loads with the other agents of the service.
//
// The agent uses the terms of package flow, and these:
//
//   - The ranking of a flow is the order of the service's upstreams by a hash of the flow
//     and the upstream's ID (rendezvous hashing), which is the same in every process. The
//     flow's first choice is the highest-ranked upstream that accepts flows.
//   - The owner of a flow is the agent that has the flow in its table; the upstream beside
//     it holds the flow. A holder is an agent's quota.Holder, which holds tokens.
//   - A token permits one connection, or one new connection per second, of a customer. The
//     grantor, a balancer, issues tokens to the holders. A holder needs a current lease of
//     the grantor to admit flows.
//   - The settling time (settings.Agent.SettlingSeconds) is the maximum time for which some
//     processes still have the older view after a change of the membership.
//   - A slot is the upstream's capacity for one request. The gate (load.Gate) decides
//     which new flows wait for a slot. A flow can also wait for a token.
//   - An endpoint is an address, port and protocol of the service. An agent without
//     configured endpoints learns them from its upstream's packets and announces them; the
//     balancers call them learned addresses.
//
// The platform restarts an agent that has exited within one to two seconds; the upstream
// keeps running meanwhile. After SIGTERM a process has 6 s to end.
package agent
