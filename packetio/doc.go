// Package packetio moves batches of packets between the daemons and the network.
// A Source fills an Inbox and a Sink sends an Outbox. UDP datagrams and a TUN
// device implement both; tests use the in-memory Pipe.
//
// Buffers are allocated once for each goroutine, so that receiving, framing and
// sending a packet allocates nothing.
package packetio
