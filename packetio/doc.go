// Package packetio receives and sends batches of packets. A Source fills an Inbox and a
// Sink sends an Outbox. UDP and Device implement both; tests use the in-memory Pipe.
//
// Each goroutine allocates its buffers once, so that receiving, encapsulating and sending
// a packet allocates nothing.
package packetio
