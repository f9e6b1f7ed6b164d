package request

import (
	"slices"
	"time"
)

// ClaimsConfig holds the parameters of Claims. Zero fields take the default.
type ClaimsConfig struct {
	// ResendInterval is the first interval at which a claim without both grants is
	// resent; it doubles with each try up to MaxResendInterval. Default 25 ms.
	ResendInterval time.Duration
	// MaxResendInterval is the longest resend interval; default 400 ms.
	MaxResendInterval time.Duration
	// GrantLifetime is the lifetime of the grants of one round, counted from when its first
	// claim was sent. An attempt may not start on an expired grant; it claims again in a new
	// round. The default, which is also the maximum, is maxGrantLifetime.
	GrantLifetime time.Duration
	// RenewInterval is the interval at which the claims of running attempts are renewed;
	// default 5 min.
	RenewInterval time.Duration
	// FindInterval is the interval at which the agent of another attempt that holds the
	// key is queried for its outcome; default 200 ms.
	FindInterval time.Duration
	// SingleRegistrar, if set, is the only registrar of all keys, in place of two per
	// key. It is used only in benchmarks that compare two registrars per key with
	// records that are stored in one place.
	SingleRegistrar Process
}

const (
	// maxGrantLifetime is long enough for the wait in the queue, 1 s by default, and ends before
	// peers have marked a silent agent as failed, after 3 s, so that its claims seldom hold up
	// a retry.
	maxGrantLifetime = 2 * time.Second
	// grantEndMargin is the time after the end of a grant until a registrar relies on it. It
	// allows for clocks of different VMs that differ in rate by 5%.
	grantEndMargin = 100 * time.Millisecond
)

func (c ClaimsConfig) withDefaults() ClaimsConfig {
	if c.ResendInterval == 0 {
		c.ResendInterval = 25 * time.Millisecond
	}
	if c.MaxResendInterval == 0 {
		c.MaxResendInterval = 400 * time.Millisecond
	}
	if c.GrantLifetime == 0 || c.GrantLifetime > maxGrantLifetime {
		c.GrantLifetime = maxGrantLifetime
	}
	if c.RenewInterval == 0 {
		c.RenewInterval = 5 * time.Minute
	}
	if c.FindInterval == 0 {
		c.FindInterval = 200 * time.Millisecond
	}
	return c
}

// stallIntervals is the number of resend intervals without both grants after which an
// attempt counts as stalled; a refused claim makes it stalled at once. The request of a
// stalled attempt waits outside the queue.
const stallIntervals = 2

// Claims acquires the grants of both registrars of the key for each of this agent's
// attempts.
type Claims struct {
	cfg            ClaimsConfig
	self           Process
	view           *view
	table          map[AttemptID]*claim // keyed by the ID without its round
	order          []AttemptID          // keys of table in insertion order, so that Step does not depend on map order
	out            []Message
	holderOutcomes []HolderOutcome

	// LateReplies counts replies that match no current claim or query.
	LateReplies uint64
}

// HolderOutcome is the outcome of another attempt that holds the key.
type HolderOutcome struct {
	Attempt AttemptID // this agent's attempt, which ends with that outcome
	Outcome Outcome
	Reason  Reason
	Answer  *Answer
}

type claim struct {
	key           Key
	pair          Pair
	round         uint32
	granted       [2]bool
	heldByOrphan  [2]bool       // by registrar: the key is held there by an orphan
	orphanExpired [2]bool       // by registrar: the orphan cannot start by its grant there any more
	orphan        AttemptID     // the orphan; zero if none is known to hold the key
	lifetimeStart time.Duration // when the first claim of this round was sent; notClaimed before
	claimingSince time.Duration // start of the time until the attempt is stalled
	lastSent      time.Duration // when the last claim or query was sent
	tries         int
	refused       bool      // a registrar has refused a claim since the attempt last had both grants; kept by startClaims
	holder        AttemptID // another attempt that holds the key at a registrar; zero if none is known
	yielded       bool      // has released its claims and waits for the holder's outcome
	running       bool
}

// notClaimed is the value of claim.lifetimeStart of a round in which no claim has been sent.
const notClaimed = time.Duration(-1)

// NewClaims returns an empty table.
func NewClaims(cfg ClaimsConfig, self Process) *Claims {
	return &Claims{cfg: cfg.withDefaults(), self: self, view: newView(nil), table: make(map[AttemptID]*claim)}
}

// SetMembers adopts a membership. Grants are valid only for the pair that they name, so
// attempts that have not started and whose pair changed claim again.
func (c *Claims) SetMembers(now time.Duration, members []Member) {
	v := newView(members)
	if v.hash == c.view.hash {
		return
	}
	c.view = v
	for _, id := range c.order {
		a := c.table[id]
		if p := c.pair(a.key); p != a.pair && !a.running {
			if !a.yielded {
				c.release(id, a)
			}
			c.startClaims(now, id, a)
		}
	}
}

// Claim starts to claim the key for an attempt.
func (c *Claims) Claim(now time.Duration, id AttemptID, k Key) {
	a := &claim{key: k, lifetimeStart: notClaimed}
	c.table[id] = a
	c.order = append(c.order, id)
	c.startClaims(now, id, a)
}

func (c *Claims) pair(k Key) Pair {
	if c.cfg.SingleRegistrar != (Process{}) {
		return Pair{{Process: c.cfg.SingleRegistrar}, {Process: c.cfg.SingleRegistrar}}
	}
	return c.view.pair(k)
}

// startClaims starts claiming under the current pair. Grants of the round keep their lifetime. An
// attempt that has yielded sends no claim.
func (c *Claims) startClaims(now time.Duration, id AttemptID, a *claim) {
	a.pair, a.claimingSince, a.tries, a.heldByOrphan = c.pair(a.key), now, 0, [2]bool{}
	if !a.yielded {
		c.sendClaim(now, id, a)
	}
}

// sendClaim sends a claim to the registrars that have not granted it.
func (c *Claims) sendClaim(now time.Duration, id AttemptID, a *claim) {
	a.lastSent = now
	a.tries++
	startWithin := time.Duration(0)
	if !a.running {
		if a.lifetimeStart == notClaimed {
			a.lifetimeStart = now
		}
		startWithin = a.lifetimeStart + c.cfg.GrantLifetime - now
	}
	for i, to := range a.pair {
		if a.granted[i] || to == (RegistrarID{}) || i == 1 && a.pair[0] == to {
			continue
		}
		c.out = append(c.out, Message{Kind: KindClaim, From: c.self, To: to.Process, Key: a.key, Attempt: a.roundID(id), Pair: a.pair,
			Holding: a.running, StartWithin: startWithin})
	}
}

func (a *claim) roundID(id AttemptID) AttemptID {
	id.Round = a.round
	return id
}

// Ready reports whether an attempt has both grants, unexpired, and may start.
func (c *Claims) Ready(now time.Duration, id AttemptID) bool {
	a := c.table[id]
	return a != nil && a.hasBothGrants() && !c.grantsExpired(now, a)
}

// grantsExpired reports whether the lifetime of the round's grants has ended.
func (c *Claims) grantsExpired(now time.Duration, a *claim) bool {
	return a.lifetimeStart != notClaimed && now-a.lifetimeStart >= c.cfg.GrantLifetime
}

// Contested reports whether another attempt, not an orphan, is known to hold the key at a
// registrar.
func (c *Claims) Contested(id AttemptID) bool {
	a := c.table[id]
	return a != nil && a.holder != (AttemptID{})
}

// MayRunElsewhere reports whether another attempt is known to hold the key at a registrar.
func (c *Claims) MayRunElsewhere(id AttemptID) bool {
	a := c.table[id]
	return a != nil && (a.holder != (AttemptID{}) || a.orphan != (AttemptID{}))
}

// Stalled reports whether an attempt lacks a grant and a registrar has refused a claim or
// has not answered in time.
func (c *Claims) Stalled(now time.Duration, id AttemptID) bool {
	a := c.table[id]
	return a != nil && !a.hasBothGrants() && (a.refused || now-a.claimingSince > stallIntervals*c.cfg.ResendInterval)
}

func (a *claim) hasBothGrants() bool { return a.granted[0] && a.granted[1] }

// Started records that an attempt starts to run.
func (c *Claims) Started(now time.Duration, id AttemptID) {
	check(c.Ready(now, id), "attempt %v started without both grants", id)
	a := c.table[id]
	a.running, a.lastSent = true, now
}

// End removes an attempt. The claims of an attempt that was not started are released.
// Those of a started attempt stay. If it is done, the registrars to which its last claim
// was sent are notified once; a lost notification is not repeated.
func (c *Claims) End(id AttemptID, o Outcome) {
	a := c.table[id]
	if a == nil {
		return
	}
	switch {
	case a.running && o == Done:
		c.sendToRegistrars(KindDone, a.roundID(id), a)
	case !a.running && !a.yielded:
		c.release(id, a)
	}
	delete(c.table, id)
	c.order = slices.DeleteFunc(c.order, func(x AttemptID) bool { return x == id })
}

// release releases the claims of the current round at both registrars, including claims
// whose grants may still be in flight, and begins the next round. The attempt never runs
// under the released round.
func (c *Claims) release(id AttemptID, a *claim) {
	check(!a.running, "claims of attempt %v released while it runs", id)
	c.sendRelease(a.roundID(id), a)
	a.round++
	a.granted, a.lifetimeStart = [2]bool{}, notClaimed
}

func (c *Claims) sendRelease(roundID AttemptID, a *claim) {
	c.sendToRegistrars(KindRelease, roundID, a)
}

// sendToRegistrars sends a message about an attempt to both registrars.
func (c *Claims) sendToRegistrars(kind Kind, roundID AttemptID, a *claim) {
	for i, to := range a.pair {
		if to != (RegistrarID{}) && (i == 0 || to != a.pair[0]) {
			c.out = append(c.out, Message{Kind: kind, From: c.self, To: to.Process, Key: a.key, Attempt: roundID})
		}
	}
}

// HandleClaimReply handles a registrar's reply to a claim.
func (c *Claims) HandleClaimReply(now time.Duration, m Message) {
	id := m.Attempt.withoutRound()
	a := c.table[id]
	if a == nil || a.key != m.Key || m.Pair != a.pair || m.Attempt.Round != a.round || a.yielded {
		c.LateReplies++
		return
	}
	if a.running {
		return // the reply is to a renewed claim
	}
	switch m.Verdict {
	case Granted:
		for i, p := range a.pair {
			a.granted[i] = a.granted[i] || p.Process == m.From
		}
		if a.hasBothGrants() {
			a.refused, a.orphan = false, AttemptID{}
		}
		c.resolveOrphan(now, id, a)
	case Refused:
		a.refused = true
	case Held:
		if m.Outcome == Done && c.isOrphaned(m.Other) {
			c.holderOutcomes = append(c.holderOutcomes, HolderOutcome{Attempt: id, Outcome: Done, Reason: ReasonAnswerLost})
			return
		}
		c.resolveConflict(now, id, a, m.Other, &m)
	}
}

// resolveConflict resolves a conflict with another attempt that holds the key, as reported
// by a registrar's reply (nil if called by Yield). If the holder is an orphan, it
// marks the key as held at that registrar and calls resolveOrphan. Otherwise it queries the
// holder's outcome. If the holder has the lower number, this attempt first releases its
// claims; if not, it keeps them, and the holder yields unless it has both grants (see
// MustYield).
func (c *Claims) resolveConflict(now time.Duration, id AttemptID, a *claim, holder AttemptID, reply *Message) {
	if holder.withoutRound() == id {
		// The holder is an earlier round of this attempt, whose release was lost.
		c.sendRelease(holder, a)
		return
	}
	if c.isOrphaned(holder) {
		for i, p := range a.pair {
			if reply != nil && p.Process == reply.From {
				a.heldByOrphan[i], a.orphanExpired[i] = true, reply.Expired
			}
		}
		a.orphan = holder
		c.resolveOrphan(now, id, a)
		return
	}
	a.holder = holder
	if holder.Compare(id) < 0 {
		a.yielded = true
		c.release(id, a)
	}
	c.queryHolder(now, id, a)
}

// isOrphaned reports whether an attempt is an orphan: its agent is not in the view. The
// process may still be running, for example if it was wrongly marked as failed.
func (c *Claims) isOrphaned(x AttemptID) bool {
	p := Process{x.Agent, x.Incarnation}
	return p != c.self && !c.view.contains(p.ID, p.Incarnation)
}

// resolveOrphan resolves a conflict with an orphan. If the orphan holds the key at both
// registrars, it may have run, and the outcome is unknown. If the orphan holds the key at
// one registrar and this attempt has an unexpired grant of the other, the orphan lacks that
// grant and has not run. Its process may be running, so its claim is released only after its
// grant has expired: until then it would start as soon as it gets the other grant.
func (c *Claims) resolveOrphan(now time.Duration, id AttemptID, a *claim) {
	if a.heldByOrphan[0] && a.heldByOrphan[1] {
		c.holderOutcomes = append(c.holderOutcomes, HolderOutcome{Attempt: id, Outcome: Unknown, Reason: ReasonAttemptLost})
		return
	}
	released := false
	for i := range a.pair {
		released = released || a.heldByOrphan[i] && a.orphanExpired[i] && a.granted[1-i] && !c.grantsExpired(now, a)
	}
	if !released {
		return
	}
	c.sendRelease(a.orphan, a)
	a.heldByOrphan, a.orphan = [2]bool{}, AttemptID{}
	c.sendClaim(now, id, a)
}

// queryHolder queries the holder's agent for the holder's outcome.
func (c *Claims) queryHolder(now time.Duration, id AttemptID, a *claim) {
	a.lastSent = now
	if c.isOrphaned(a.holder) {
		// Only the registrars still know whether the holder may have run.
		a.holder, a.yielded = AttemptID{}, false
		c.startClaims(now, id, a)
		return
	}
	to := Process{a.holder.Agent, a.holder.Incarnation}
	c.out = append(c.out, Message{Kind: KindFind, From: c.self, To: to, Key: a.key, Attempt: a.roundID(id), Other: a.holder,
		Holding: !a.yielded && (a.granted[0] || a.granted[1])})
}

// MustYield reports whether the attempt queried by a find must yield: it has neither
// started nor yielded and lacks a grant, and the querying attempt has a grant and the lower
// number.
func (c *Claims) MustYield(m Message) bool {
	a := c.table[m.Other.withoutRound()]
	return a != nil && !a.running && !a.hasBothGrants() && !a.yielded && m.Holding && m.Attempt.Compare(m.Other) < 0
}

// IsPastRound reports whether the ID names an earlier round of an attempt that has not
// ended: that round never runs.
func (c *Claims) IsPastRound(roundID AttemptID) bool {
	a := c.table[roundID.withoutRound()]
	return a != nil && roundID.Round < a.round
}

// Yield treats winner as the holder of the key: the attempt releases its claims if the
// winner has the lower number, and waits for the winner's outcome.
func (c *Claims) Yield(now time.Duration, roundID, winner AttemptID) {
	if a := c.table[roundID.withoutRound()]; a != nil {
		c.resolveConflict(now, roundID.withoutRound(), a, winner, nil)
	}
}

// HandleFindReply handles the reply of the holder's agent to a query.
func (c *Claims) HandleFindReply(now time.Duration, m Message) {
	id := m.Attempt.withoutRound()
	a := c.table[id]
	if a == nil || a.key != m.Key || a.holder != m.Other || a.running {
		c.LateReplies++
		return
	}
	if m.Verdict != Ended {
		return
	}
	if m.Outcome != NotRun {
		c.holderOutcomes = append(c.holderOutcomes, HolderOutcome{Attempt: id, Outcome: m.Outcome, Reason: m.Reason, Answer: m.Answer})
		return
	}
	// The holder ended without running: release its claims and claim again.
	c.sendRelease(a.holder, a)
	a.holder, a.yielded = AttemptID{}, false
	c.startClaims(now, id, a)
}

// Step resends unanswered messages, claims again in a new round when grants have expired, and renews
// the claims of running attempts.
func (c *Claims) Step(now time.Duration) {
	for _, id := range c.order {
		a := c.table[id]
		switch {
		case a.running:
			if now-a.lastSent >= c.cfg.RenewInterval {
				a.pair, a.granted = c.pair(a.key), [2]bool{}
				c.sendClaim(now, id, a)
			}
		case !a.yielded && c.grantsExpired(now, a):
			c.release(id, a)
			c.startClaims(now, id, a)
		case now-a.lastSent < c.resendDelay(a):
		case a.holder != (AttemptID{}):
			if now-a.lastSent >= c.cfg.FindInterval {
				c.queryHolder(now, id, a)
			}
		case a.hasBothGrants():
		default:
			c.sendClaim(now, id, a)
		}
	}
}

// resendDelay returns the time from the last send of a claim to the next.
func (c *Claims) resendDelay(a *claim) time.Duration {
	return min(c.cfg.ResendInterval<<min(max(a.tries-1, 0), 10), c.cfg.MaxResendInterval)
}

// Take returns the messages to send and the outcomes found since the last call.
func (c *Claims) Take() ([]Message, []HolderOutcome) {
	out, found := c.out, c.holderOutcomes
	c.out, c.holderOutcomes = nil, nil
	return out, found
}
