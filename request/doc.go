// Package request decides which HTTP requests run at an upstream and when, and
// ensures that a request with an idempotency key runs at most once. It is a set of
// state machines without goroutines, sockets or clocks: the caller passes in the time
// and the received messages, and takes out the messages to send.
//
// Gate manages the slots and the queue, Registrar records which attempt has claimed a
// key, Claims acquires an attempt's permit from two registrars, and Attempts stores
// outcomes and answers for retries. Node combines them for one agent.
package request
