// Package demo runs whole deployments on one machine. It starts the daemons and the
// stand-ins for the platform as processes, generates load, and changes the fleet and the
// lists meanwhile. It checks the records of the stand-ins against the guarantees.
package demo
