// Package bench measures the decision packages, which are step libraries, in simulations
// with virtual time. Runs are deterministic for a seed: they use no clock and no socket.
// Only RunSlopes measures the processor time and the memory of the process.
package bench
