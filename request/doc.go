// Package request decides which HTTP requests run at an upstream and when. A request
// with an idempotency key is to run at most once within RegistrarConfig.Retention of the
// last grant for it. The package is a set of state machines without goroutines, sockets
// or clocks: the caller passes in the time and the received messages, and takes out the
// messages to send.
//
// Gate manages the slots and the queue, Registrar records to which attempt a key is
// granted, Claims acquires the grants of both registrars for an attempt, and Attempts
// stores outcomes and answers for retries. Node combines them for one agent.
//
// Terms:
//
//   - attempt: one submission of a request to one agent. A retry is another attempt, also
//     on the same agent.
//   - pair: the first and the second registrar of a key in a view.
//   - claim: the message by which an attempt requests its key from a registrar.
//   - grant: a registrar's positive reply to a claim. An attempt starts only with the
//     unexpired grants of both registrars of its key; the reason "no-permit" means that a
//     request ended without them.
//   - record: what a registrar stores about a grant, for the retention time. A renewed
//     claim extends it.
//   - An attempt holds a key at a registrar if the registrar has an unexpired record of
//     the attempt's grant. Such an attempt may lack the other grant, run or have ended.
//     The holder is another attempt that a registrar reports as holding the key.
//   - release: to withdraw a claim at both registrars, which remove the record. An
//     attempt that releases its claims begins a new round. The claims of an orphan whose
//     grant has expired or of a holder that ended without running are released by the
//     attempt that found it.
//   - find: the message by which an attempt queries the holder's agent for the holder's
//     outcome.
//   - yield: to release the claims in favor of the holder and wait for its outcome.
//   - orphan: an attempt whose agent is not in the view of the agent that encounters it.
//     The process may still be running.
//   - view: one membership. A registrar is complete in a view once all other members of
//     that view have answered its pull.
//   - pull: a registrar's request for the records that it may lack, sent to all other
//     members after each change of its view. The reply hands over these records.
//   - loss: keys whose registrars in an earlier view are all gone. They are refused until
//     the records of their grants would have expired.
package request
