// Package bench runs the types of packages flow, member, plan, quota and request, which do
// no I/O and have no clock, in simulations with virtual time. Runs are deterministic for a
// seed: they use no clock and no socket.
// Only RunSlopes measures the processor time and the memory of the process.
package bench
