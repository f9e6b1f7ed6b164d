// Package daemon holds what a balancer and an agent have in common: driving the
// membership protocol over RPC, the control service with dump and drain, and the
// types that the operator's tool reads back.
package daemon
