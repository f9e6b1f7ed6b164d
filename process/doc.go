// Package process runs one daemon of the system in a process: it reports settings
// findings, starts the daemon, turns signals into a graceful shutdown, and decides
// the exit status.
package process
