// Package demo runs whole deployments on one machine: the daemons and the
// stand-ins of the platform as processes, load, and changes of the fleet and the
// lists. It compares what the stand-ins observed with the guarantees.
package demo
