package event

// Events by number: 1000 processes and settings, 1100 packet path, 1200 membership,
// 1300 store, lists and routes, 1400 control calls, 1500 limits of plans, 1600 requests,
// 1700 the upstream on an agent's VM, 1800 single flows.
var (
	Started      = Definition{1000, Info, "started", "The process has opened its sockets."}
	Draining     = Definition{1001, Info, "draining", "A graceful shutdown has begun, after a signal or a drain command of an operator."}
	Stopped      = Definition{1002, Info, "stopped", "The process is about to exit; `left` is the number of flows that were still open."}
	BadSettings  = Definition{1003, Error, "settings rejected", "The settings file has a mistake at the given position, with one event per mistake. At a start, nothing was started: correct the fields and start again. At a reload, the previous settings stay in effect."}
	SocketFailed = Definition{1004, Error, "socket failed", "A socket could not be opened or has failed; the process exits. Check the address and whether another process uses it."}
	StopForced   = Definition{1005, Error, "stopped by a second signal", "A second SIGTERM or SIGINT arrived during a graceful shutdown; the process exits at once and the flows counted by `left` are broken."}
	DrainLimit   = Definition{1006, Warn, "drain limit reached", "Flows were still open when `drain_limit_seconds` had passed; `left` is their number. They are broken."}

	Reloaded     = Definition{1007, Info, "settings reloaded", "The settings file was read again. `changed` lists the fields whose values changed, `next_start` those of them that take effect only at the next start."}
	ReloadFailed = Definition{1008, Error, "settings reload failed", "The settings file was read again and has mistakes, with one event 1003 per mistake; the previous settings stay in effect."}
	LinesDropped = Definition{1009, Warn, "log lines dropped", "Lines were dropped before this one: `flow_lines` about single flows because of the rate limit, `queue_full` because a slow reader of the log had let the queue fill."}

	WrongService = Definition{1100, Error, "packet for wrong service at delivery", "The check before delivery found a packet for another service and dropped it; this is a fault in the program. Report it with the dump."}
	SendFailed   = Definition{1101, Warn, "packets not sent", "The operating system refused to send packets; `packets` is their number since the previous event of this kind. Check routes and socket buffers."}

	StateChanged    = Definition{1200, Info, "upstream state changed", "The state of an upstream has changed in this process's view, which is the services, upstreams and routes that the process knows, or the upstream was added to the view or removed from it. A balancer adds `was`, the state before. A change from `failed` to another state of an upstream that has not restarted means that it had been marked, or had announced itself, as failed by mistake."}
	PeerUnreachable = Definition{1201, Warn, "peer unreachable", "A membership call to a peer failed; it is retried. At most one event is logged per minute."}

	FailureClaimed      = Definition{1202, Info, "failure claimed", "This balancer has asked the `arbiter` to mark a process as failed: neither it nor the other `observers` could reach the process by a control call, and this balancer has counted its silence for `silent_seconds`. The arbiter may refuse. `dropped` is the number of further lines of events 1202 and 1203 that were left out."}
	MarkedFailed        = Definition{1203, Warn, "process marked as failed", "This balancer has marked a process as failed, as the arbiter, on the claim of `claimed_by`; `observers` are the control addresses of the balancers that could not reach it, and `state` is its state before. The mark is a suspicion: the process or, beside it, an upstream may still run. A failed upstream without this line has been announced as failed by its own agent: see 1701 there."}
	ReachabilityChanged = Definition{1204, Info, "balancer reachability changed", "This balancer has found another one unreachable, because its pings failed (`reachable` false), or has received a sign of life of it again. An unreachable balancer takes no part in the duties that this one assigns by rank: readers of the store, collectors, homes, arbiters, probers, grantors. Its record stays until it is marked as failed (1203)."}

	ListsActive   = Definition{1300, Info, "lists active", "The lists of the given revision are active on this process."}
	ListsRejected = Definition{1301, Error, "lists rejected", "Lists read from the store or a peer were not activated; the previous revision stays active."}
	StoreFailed   = Definition{1302, Warn, "store call failed", "The store did not answer; the process continues with the data that it has and retries. At most one event is logged per minute."}

	StoreReturned    = Definition{1303, Warn, "store returned from an older copy", "The store reports a later era than before: it has lost its latest writes and gives out their revisions again. `era` and `was` are the eras. The process discards its leases and revisions of the earlier era, reads again and writes again what it had written. After a return, check that operators' latest changes are still in force."}
	StoreEraRefused  = Definition{1304, Warn, "store answer of an earlier era refused", "An answer of the store carries an earlier `era` than one already `seen`. It is treated as no answer. One such event after event 1303 is a delayed answer; repeated events mean that the store, or a part of it, reports an earlier era than before. At most one event is logged per minute."}
	StoreEraInvalid  = Definition{1305, Warn, "store answer without a valid era", "The era that an answer of the store carries is missing or invalid (`era`). The answer is used as one of the era `seen` last; a return of the store from an older copy cannot be noticed by it. At most one event is logged per minute."}
	StoreHistoryLost = Definition{1306, Error, "store does not continue its history", "The revision of the store has gone back or its cluster ID has changed, as after a restore from a snapshot, and the protocol does not say in which order the store's states follow. The process makes no further store calls and continues with the data that it has. Restart all balancers and agents, and check that operators' latest changes are still in force."}
	ListsLost        = Definition{1307, Error, "edit of the lists lost by the store", "The store has returned from a copy without the edit `edit` of `author`, which was accepted as `revision` and is active here; it has the revision `stored` instead (0: none). The edit stays in force until the store accepts another one, which will not contain it: make it again. Earlier edits may be lost too. Logged once for each edit by the processes that read the store."}
	EntryUnreadable  = Definition{1308, Warn, "store entry unreadable", "The value of `key` in the store, or a part of it, could not be decoded and is ignored; the rest of it and the other keys are used. A shard or the record of a grantor is replaced by the process that writes it. One line is logged for each content of a key. Find out what else writes to the store."}

	RoutesActive     = Definition{1310, Info, "routes active", "The routes of the given version are active on this process."}
	RoutesRejected   = Definition{1311, Error, "routes rejected", "A document of routes was not activated, for the reason in `error`; the previous one stays active. Each such document is logged once. If its version is lower than the active one, or equal with other content, the store has returned from an older copy (1303) or an operator has given out a version again: write the newest document again under a higher version."}
	RoutesUnreadable = Definition{1313, Warn, "routes unreadable", "`active` true: this balancer has no routes, cannot read them from the store and knows no other process that has them, so it places new flows by the addresses of the flows that upstreams hold. `active` false: this state has ended, because the balancer has routes, can read the store again or knows a process that has routes."}
	RouteUnusable    = Definition{1312, Warn, "route unusable", "One route of a document cannot be used, for the reason in `finding`; the others are active."}

	ControlFailed = Definition{1400, Warn, "control service failed", "The control listener reported an error; other processes may be unable to reach this one."}

	GrantorStarted    = Definition{1500, Info, "quota grantor started", "This balancer issues the tokens of `service` from now on, in the given `term`."}
	GrantorStopped    = Definition{1501, Info, "quota grantor stopped", "This balancer no longer issues the tokens of `service`; another balancer issues them, or will, in a higher term."}
	RecountUnfinished = Definition{1502, Warn, "token recount not finished", "The grantor of `service` has not yet counted the tokens that agents hold. Until it has, it issues no additional tokens to customers whose limits were raised. Look for agents that do not answer. At most one event is logged per minute."}
	LeaseExpired      = Definition{1503, Warn, "admission lease expired", "New flows were refused because the grantor has not renewed this agent's admission lease; open flows continue. Check the grantor of the service and the network path to it. At most one event is logged per minute."}

	UpstreamStarted      = Definition{1700, Info, "upstream started", "The upstream on this VM has announced that it has started or restarted; flows of an earlier run have ended. `born` and `agent_started` are the start times of upstream and agent by this VM's clock, in Unix milliseconds, `number` is the announcement's sequence number and `warmup` the remaining warm-up in seconds: from these the agent concludes whether the upstream has started together with it."}
	LocalUpstreamChanged = Definition{1701, Info, "local upstream state changed", "The upstream on this VM has announced another state or that it ends, or has not announced itself for too long. For `failed`, `reason` is `connection refused` (no process listens at its address, so its flows are lost), `never announced` or `announcements missed` (it may still run and hold its flows; `silent_seconds` is the time since its last sign of life, and `listening` tells whether the last connection to it succeeded)."}
	UpstreamMalformed    = Definition{1702, Warn, "announcement rejected", "An announcement of an upstream was ignored because it was malformed, older than the latest one or from another upstream. At most one event is logged per minute."}
	UpstreamProbed       = Definition{1703, Info, "upstream probed", "The upstream had not answered the first packet of a flow or had not announced itself, and the agent opened a connection to it; `ended` true means that the upstream no longer runs and its flows are lost."}

	FlowsHandedOver = Definition{1704, Info, "flows handed over", "An agent that stops beside its running upstream has sent the list of the upstream's `flows` to other agents, `keepers` of which have confirmed it. They return it to the agent's next process. `complete` false means that fewer agents than wanted have confirmed the list, or another one that this agent kept, in time."}
	FlowsRestored   = Definition{1705, Info, "flows restored", "The agent `from` has returned the list of flows of this agent's earlier process, and `flows` of them were added to the table. `complete` is why the table counts as listing all flows of the upstream (see 1815): `restored` if the list does, `no` if it may not."}

	FlowPlaced    = Definition{1800, Info, "flow placed", "A balancer has sent the first packet of a flow to an agent. `copy` is 0 for the first packet that the client sent, and 1, 2 and so on for its retransmissions; `routes` and `routes_age` are the active version and the seconds since the store confirmed it, `view_age` is the seconds since the view changed."}
	FlowNotPlaced = Definition{1801, Info, "flow not placed", "A balancer has not forwarded the first packet of a flow, for the given reason; `reset` tells whether the client was notified at once."}
	FlowUnrouted  = Definition{1802, Info, "flow reset for lack of a route", "A balancer has answered a packet other than the first of a flow with a reset, because the store has confirmed, since the flow's first packet without a route, that the active routes are the newest, and they do not have the flow's address. It resets no flow for any other reason; resets to first packets are in event 1801."}
	FlowDelivered = Definition{1810, Info, "flow delivered", "An agent has delivered the first packet of a flow to its upstream. `busy` is the number of requests that the upstream ran or had queued, `opening` the number of accepted flows that had sent no request yet, and `slots` the number of requests that it can run at once; `below` is the number of those in `busy` with a lower priority than `priority`, that of the flow, beside which the flow is accepted although all slots are in use; `waited` is how long the packet was queued, in seconds."}
	FlowForwarded = Definition{1811, Info, "flow forwarded", "An agent has forwarded the first packet of a flow to another agent: its upstream is busy, does not accept flows or has returned the packet."}
	FlowHeld      = Definition{1812, Info, "flow held", "The first packet of a flow is queued until the upstream has a free slot; `waiting` is the number of flows whose first packet is queued."}
	FlowRefused   = Definition{1813, Info, "flow refused", "An agent has dropped the first packet of a flow without delivering it; `reset` tells whether the client was notified at once. No request was run."}
	FlowReset     = Definition{1814, Info, "flow reset", "An agent has reset a client's flow. `cause` is `upstream_restarted` or `upstream_stopped` if the flow ended with this agent's own upstream, and `inquiry` if the agent has found that no upstream holds it; with `recorded`, the reset answers a packet of a flow that has been recorded as lost for that many seconds. `peers` and `peers_age` are the number of known upstreams and the seconds since this set changed, `silent` is the number of them that counted as absent because nothing had arrived from them, and `complete` is why this agent's own table counts as complete (see 1815). `denied` peers answered within `asked_for` seconds that their upstreams do not hold the flow; `excluded` peers gave no such answer. `excluded_as` lists up to four of these, each with the `rule` by which it counts as not holding the flow (`failed`, `leaving`, `agent_restarting`: its state; `unresponsive`: nothing has ever arrived from its process; `silent`: nothing has arrived while inquiries were sent), its state, the seconds `for` which it has been known `from` its own `agent` or a `balancer`, and the seconds since it was last `heard`; `inquired` means that inquiries were sent to it since, `may_hold` that it answered that its upstream may hold the flow."}
	FlowUnknown   = Definition{1815, Info, "packet of an unknown flow", "An agent has a later packet of a flow that it does not own, received or returned by its upstream, and has done what `outcome` says. `tried` is the number of probes with packets of the flow since the agents first missed its owner, as far as known, this one included: with more than two of them at other upstreams the flow would count as misrouted; `known` means that `to` is taken to be the owner. `complete` is why the agent's table counts as listing all flows of its upstream: `started_with_agent` (the upstream is taken to have started no earlier than the agent), `rebuilt` (the rebuilding phase is over), `restored` (other agents have returned the list of the agent's earlier process), or `no`."}
	FlowAdopted   = Definition{1816, Info, "unknown flow adopted", "The upstream has sent a packet of a flow that was not in its agent's table although the table counted as complete, for the reason in `complete` (see 1815). Either the flow had been idle for so long that it had left the table, or the table was not complete and the agent has told its peers until now that the upstream does not hold the flow."}

	HTTPListening = Definition{1600, Info, "HTTP listener opened", "The agent accepts HTTP connections for its upstream from callers, the clients that send HTTP requests."}
)

// Catalogue lists all events that the programs log, in ascending order of number.
var Catalogue = []Definition{
	Started, Draining, Stopped, BadSettings, SocketFailed, StopForced, DrainLimit,
	Reloaded, ReloadFailed, LinesDropped,
	WrongService, SendFailed,
	StateChanged, PeerUnreachable, FailureClaimed, MarkedFailed, ReachabilityChanged,
	ListsActive, ListsRejected, StoreFailed, StoreReturned, StoreEraRefused, StoreEraInvalid, StoreHistoryLost, ListsLost, EntryUnreadable,
	RoutesActive, RoutesRejected, RouteUnusable, RoutesUnreadable,
	ControlFailed,
	GrantorStarted, GrantorStopped, RecountUnfinished, LeaseExpired,
	HTTPListening,
	UpstreamStarted, LocalUpstreamChanged, UpstreamMalformed, UpstreamProbed, FlowsHandedOver, FlowsRestored,
	FlowPlaced, FlowNotPlaced, FlowUnrouted, FlowDelivered, FlowForwarded, FlowHeld, FlowRefused, FlowReset, FlowUnknown, FlowAdopted,
}
