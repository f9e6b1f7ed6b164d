// Package flow places flows on upstreams and keeps each flow on the upstream that holds it
// while the fleet changes.
//
// The package is a pure step library without sockets, goroutines and clocks. The caller
// passes in the time as a monotonic duration since the start of the process.
//
// # Vocabulary
//
// An upstream holds a flow if the server process has its connection. The agent beside it owns
// the flow: it has the flow in its Table. The peers of an agent are the other upstreams of the
// service with their agents. Each flow ranks the upstreams by score; its first choice is the
// highest-ranked upstream that accepts flows. A flow is displaced if its owner is not its
// first choice. The owner sends the fingerprints of displaced flows to their first choices;
// the fingerprints sent to one peer are the digest for this peer.
//
// An agent offers a first packet to a peer that may already own the packet's flow; the peer
// delivers it, forwards it to the owner that it knows, or declines the offer and sends it back.
// An agent hands a new flow off if it forwards the flow's first packet to another agent that is
// to accept the flow. If the reason is that its upstream has no free slot, package load says that
// the flow is passed on. A detour is the way of a packet through an agent that does not own its
// flow. A hint is a message by which an agent informs balancers or other agents that it owns a flow.
// The Router stores these hints and, as assumed hints, its own decisions.
//
// A view is a process's information on the services, the upstreams and their states. The settling
// time is the time after a change until all processes have the same view, with a margin.
//
// The rebuilding phase is the time after the start of an agent in which its upstream may hold
// flows that the agent does not know: as long as a flow may be idle. A probe is the delivery of a packet of an unknown flow to
// the upstream, to learn whether the upstream holds the flow: if not, it returns the packet. If so,
// its own packets show it. Header.Tried and Counters.Tried count probes. A returned packet is one that
// the upstream has sent back, except in packet.FlagReturned, which marks a declined offer. A flow is
// suspect at its first choice if the client sends packets of it, the upstream of this agent is not
// known to hold it, and the agent knows no owner. It is lost when no upstream holds it.
//
// # Rules
//
// Table.Receive decides on a packet by the first rule that applies:
//
//   - Rule 1: A packet of another service or with an invalid path is dropped.
//   - Rule 2: A packet of a flow in this agent's table is delivered to the upstream, unless it
//     acknowledges another SYN+ACK than the upstream's: the flow is then open elsewhere and leaves the
//     table. After a detour the balancer is sent a hint.
//   - Rule 3: If a peer is known to own the flow, by its digest, by a hand-off or declined
//     offer, by a hint or by an answer to an inquiry, the packet is forwarded to this peer. A
//     SYN is not forwarded to a failed peer. This knowledge is not certain: two flows can have
//     the same 32-bit fingerprint, and the receiver of a hand-off may not have accepted it.
//   - Rule 4: A first packet, which may open a flow, goes back to the agent that offered it.
//     If it was not offered and is no numbered SYN, it is offered to a peer that may already own
//     the flow. Otherwise its flow is accepted, made to wait or refused, or handed off to the
//     next choice.
//   - Rule 5: The flow's owner is unknown. A packet of a flow known to be lost is answered with
//     a reset. One packet of the flow at a time is delivered to the upstream, as a probe, if its
//     sender expects the flow here (packet.FlagExpected), or if this agent is the flow's first choice
//     and its upstream may hold flows from before the agent's start. Other packets make the flow
//     suspect at its first choice, which sends an inquiry to all peers. When all have answered, it
//     forwards the flow's next packet to a peer whose upstream may hold the flow. The others are
//     forwarded along the flow's ranking. A packet without a hop or peer left is dropped.
//
// At most maxTried packets of a flow are probes: upstreams should see few packets of foreign flows. The
// agents on a packet's way count them in the header and in their records, which last while the client
// sends. Beyond the limit the packets of the flow are dropped until its owner shows itself.
//
// Agents with different views may each take themselves for the first choice. If other agents may have
// probed or look for the flow, an agent asks its peers before it probes or lets a peer probe. Their answers
// tell of their probes. Of two agents that look for a flow only the higher-ranked one goes on.
//
// Routes say where new flows go; an open flow stays where it is when its address gets another service or
// other weights. The Router sends packets to the flow's hinted owner, also in a service that the newest
// routes do not name. A packet whose owner it does not know goes to the first choice in each service that
// the address had during the life of a flow. Such packets are marked (packet.FlagShared): an agent asks only
// the agents of its own service, so it finds no flow lost that another service may hold, and each service
// makes half of the probes. A Router that has just started does not know the services of earlier routes. Until no flow
// of such routes can be open, it counts the services whose agents do not know all their flows (AnyEndpoint) among those
// that may hold the flow, unless it has placed the flow itself.
//
// Between rules 2 and 3, packets of a flow that waits for a decision are dropped, so that no
// copy of the first packet that reaches this agent opens the flow elsewhere. Late copies of a
// numbered SYN (firstRedirectedCopy and later) may do so: the Router sends them to another upstream
// on purpose, unless a hint says that the flow waits for a slot at an agent (Router.LearnWaiting).
//
// An answer to an inquiry, a finding and a notice of exit speak for the time and the process that they come from. An agent
// therefore asks again for a packet that arrives later, and asks a peer that has announced its exit as well, whose upstream
// may have started again. Of what an upstream sends, data shows that it holds the flow; an ACK alone may answer
// the FIN of one that has ended.
//
// A balancer that has not run for a while forwards the packets that it holds seconds late. Copies of a SYN are
// therefore told from the SYN of a new flow on the same ports by their sequence number, not by their time.
package flow
