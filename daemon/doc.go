// Package daemon holds the parts that balancers and agents share: the life cycle, the
// control service with dump and drain, the RPC transport of the membership and quota
// protocols, the distribution of lists and routes, the metrics page, and the types of the
// state dump that the operator's tool decodes.
package daemon
