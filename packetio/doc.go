// Package packetio receives and sends batches of packets. A Source fills an Inbox and a
// Sink sends an Outbox. UDP and Device implement both; tests use the in-memory Pipe.
//
// Each goroutine allocates its Inbox and Outbox once, so that receiving and sending a
// packet allocates nothing. An Inbox can keep free space in front of each packet, so that
// a header can be added without a copy.
package packetio
