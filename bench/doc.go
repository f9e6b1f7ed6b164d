// Package bench measures the decision packages in virtual time. Runs are
// deterministic for a seed: they use no clock and no socket.
package bench
