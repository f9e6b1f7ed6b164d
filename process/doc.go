// Package process runs one daemon as an operating system process. It reports errors in
// the settings, starts the daemon, reloads its settings, shuts it down gracefully on a
// signal, and determines the exit status.
package process
