// Package member implements the membership protocol: it distributes the list of
// balancers and upstreams and their states to all processes without the store.
//
// The home balancers of an agent are the Config.Homes live balancers that rank highest
// for it (rendezvous hashing) among those of its failure domain, or of any domain if its
// domain has none. The agent sends its heartbeats to them, and they suspect it if the
// heartbeats stop. Their replies list the homes and spare balancers; the agent uses the
// spare ones, then its seeds, in place of homes that do not respond.
//
// The package does no I/O: it has no sockets, goroutines or clock. Time is passed
// in as a monotonic duration since the start of the process. The caller executes
// the returned calls and passes their outcomes back.
package member
