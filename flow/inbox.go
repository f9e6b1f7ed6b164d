package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/internal/rendezvous"
)

// digestFilter holds, for each value of the low bits of a fingerprint, the number of
// fingerprints in all inboxes. A zero shows without a search that no peer owns a flow.
type digestFilter [1 << 14]uint32

func (f *digestFilter) slot(fp uint32) *uint32 { return &f[fp&uint32(len(f)-1)] }

// inbox is the digest received from one peer: the fingerprints of the peer's flows whose
// first choice is this agent. It is a multiset, so that additions and removals commute and
// equal fingerprints of two flows are both kept.
type inbox struct {
	filter          *digestFilter // shared by the table's inboxes
	incarnation     uint64
	start           uint64 // of the sender's upstream; 0 when unknown
	seq             uint32
	set             map[uint32]uint16
	old             map[uint32]uint16 // previous digest, used until the new one is verified
	count           uint32
	sum             uint64
	truncated       bool          // the table's limit was reached; resending would not help
	mismatch        bool          // the sender must resend the whole digest
	resendRequested time.Duration // time of the last resend request
	verified        bool          // the last check has matched, and no new digest has begun since
	keepOldUntil    time.Duration // old is kept until then even if the new digest is verified
}

// clear removes all fingerprints.
func (b *inbox) clear() {
	b.removeFromFilter(b.set)
	b.removeFromFilter(b.old)
	*b = inbox{filter: b.filter, incarnation: b.incarnation, start: b.start, resendRequested: b.resendRequested}
}

// beginDigest begins a new digest. Until it is verified, the old one is still used to find flows:
// an outdated fingerprint costs a detour or delays a reset, a missing one may break a flow.
func (b *inbox) beginDigest() {
	old, keep := b.set, b.keepOldUntil
	b.set = nil
	if len(old) == 0 {
		old, b.old = b.old, nil
	}
	b.clear()
	b.old, b.keepOldUntil = old, keep
}

// beginDigestKeepingOld begins the new digest of an agent that has restarted. Its upstream may still
// hold flows that the agent has not rediscovered yet, so the old digest is kept for the given time.
func (b *inbox) beginDigestKeepingOld(now, keep time.Duration) {
	b.keepOldUntil = now + keep
	b.beginDigest()
}

// sameUpstream reports whether the message may come from an agent whose upstream has not
// restarted since the last message.
func (b *inbox) sameUpstream(m *Message) bool {
	return m.Start == 0 || b.start == 0 || m.Start == b.start
}

// removeFromFilter subtracts a set from the filter.
func (b *inbox) removeFromFilter(set map[uint32]uint16) {
	for fp, n := range set {
		*b.filter.slot(fp) -= uint32(n)
	}
}

// contains reports whether the sender may own a flow with the fingerprint.
func (b *inbox) contains(fp uint32) bool { return b.set[fp] > 0 || b.old[fp] > 0 }

func (b *inbox) add(fp uint32) {
	if b.set == nil {
		b.set = make(map[uint32]uint16)
	}
	b.set[fp]++
	*b.filter.slot(fp)++
	b.count++
	b.sum += rendezvous.Mix(uint64(fp))
}

func (b *inbox) remove(fp uint32) {
	n := b.set[fp]
	if n == 0 {
		b.mismatch = true
		return
	}
	if n == 1 {
		delete(b.set, fp)
	} else {
		b.set[fp] = n - 1
	}
	*b.filter.slot(fp)--
	b.count--
	b.sum -= rendezvous.Mix(uint64(fp))
}

// needsResend reports whether the sender must be asked to resend its whole digest.
func (b *inbox) needsResend(now, delay time.Duration) bool {
	return b.mismatch && !b.truncated && now-b.resendRequested >= delay
}

// apply updates the digest from a message. room is the number of fingerprints that may still
// be added. keep is the time for which the digest of a restarted agent is kept.
func (b *inbox) apply(now time.Duration, m *Message, room int, keep time.Duration) {
	switch {
	case b.incarnation != m.Incarnation && keep > 0 && b.sameUpstream(m):
		b.beginDigestKeepingOld(now, keep)
	case b.incarnation != m.Incarnation, !b.sameUpstream(m):
		b.clear()
	case m.Reset:
		b.beginDigest()
	}
	b.incarnation = m.Incarnation
	if m.Start != 0 {
		b.start = m.Start
	}
	b.mismatch = b.mismatch || (!m.Reset && m.Seq != b.seq+1)
	b.seq = m.Seq
	for _, fp := range m.Add {
		if room <= 0 {
			b.truncated = true
			break
		}
		room--
		b.add(fp)
	}
	for _, fp := range m.Remove {
		b.remove(fp)
	}
	if m.Check {
		equal := m.Count == b.count && m.Sum == b.sum
		b.mismatch = !equal
		b.verified = equal
	}
	if b.verified && b.old != nil && now >= b.keepOldUntil {
		b.removeFromFilter(b.old)
		b.old = nil
	}
}
