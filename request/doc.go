// Package request decides which requests run at an upstream, when, and at most
// once. It is pure: tables that are stepped with the time passed in, and typed
// messages in and out. It holds no goroutine, socket or clock.
//
// Gate holds the slots and the queue, Registrar remembers which attempt has claimed
// a key, Claims asks two registrars for an attempt's permit, and Attempts keeps
// outcomes and answers for retries. Node combines them for one agent.
package request
