package member

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/nutmegtrack/nutmegtrack/store"
)

const (
	// ShardPrefix is the key prefix of all shards. A balancer lists the keys under
	// it when it starts.
	ShardPrefix = "members/"
	// LeasePrefix is the key prefix of the collectors' lease keys. A domain's collector is
	// the balancer that has written the domain's lease key, which is attached to its store
	// lease. It writes the domain's shard.
	LeasePrefix = "collectors/"
	// ShardLimit is the maximum size in bytes of a value in the store.
	ShardLimit = 1 << 20

	// minWriteInterval is the constant part of the minimum interval between writes of a
	// shard. The part that depends on maxWriteRate is added to it.
	minWriteInterval = 2 * time.Second
	// maxWriteRate limits the average rate at which a shard is written, so that large
	// shards are written less often: writing a shard of 3,800 records on every change
	// would exceed the 6 KB/s that a balancer may send. At about 130 bytes per record, such
	// a shard is written at most about every 4 min.
	maxWriteRate = 2000 // bytes/s
	// candidateCount is the number of balancers that campaign for a domain's lease key.
	candidateCount = 2
)

// ErrShardSize is returned when a domain's records exceed ShardLimit. They are not
// written; the membership protocol works without the shard.
var ErrShardSize = errors.New("member: shard exceeds the store's limit")

// ShardKey returns the store key of a failure domain's shard.
func ShardKey(domain string) string { return ShardPrefix + domain }

// LeaseKey returns the lease key of a failure domain's collector: a store key that is
// deleted when the store lease of the collector ends.
func LeaseKey(domain string) string { return LeasePrefix + domain }

// ShardWriter decides when a balancer campaigns for the lease key of its failure domain
// and when it writes the domain's records to the store, and builds the transactions. The
// caller executes them.
type ShardWriter struct {
	domain      string
	self        string
	lease       store.LeaseID // store lease of the last campaign, even if it failed; zero after LeaseLost
	term        int64         // the collector's term: create revision of the lease key; 0 if not the collector
	loaded      bool          // the stored shard was read in this term
	modRevision int64         // mod revision of the stored shard
	storedHash  uint64        // hash of the stored shard
	pendingHash uint64        // hash of the write in progress; 0 if there is none
	nextCheck   time.Duration // earliest time at which WriteTxn compares the records with the stored shard again
}

// shardValue is the encoding of a shard in the store. Term is the term of the collector
// that wrote it. DecodeShard ignores it; a write is guarded by the conditions of its
// transaction instead. Since Term differs, the first comparison of a new term always
// finds a change.
type shardValue struct {
	Term    int64    `cbor:"1,keyasint"`
	Records []Record `cbor:"2,keyasint"`
}

// NewShardWriter returns the shard writer of the balancer self in a failure domain.
func NewShardWriter(domain, self string) *ShardWriter {
	return &ShardWriter{domain: domain, self: self}
}

// Candidate reports whether this balancer should campaign for the lease key: it must rank
// among the first two of its domain's live balancers. Most balancers therefore never
// campaign or write a shard. A domain without live balancers has no candidate, and its
// stored shard does not change.
func (s *ShardWriter) Candidate(t *Table) bool {
	for _, b := range t.domainBalancers(s.domain).rank("collector of "+s.domain, candidateCount) {
		if b.Name == s.self && b.FailureDomain == s.domain {
			return true
		}
	}
	return false
}

// CampaignTxn returns the transaction that acquires the lease key if it is free.
func (s *ShardWriter) CampaignTxn(lease store.LeaseID) ([]store.Compare, []store.Op) {
	s.lease = lease
	free := store.Compare{Key: LeaseKey(s.domain), Target: store.CompareCreate, Revision: 0}
	take := store.Op{Key: LeaseKey(s.domain), Value: []byte(s.self), Lease: lease}
	return []store.Compare{free}, []store.Op{take}
}

// Campaigned processes the outcome of the campaign. After store.ErrUnknown the caller
// reads the lease key and passes it to HandleLease.
func (s *ShardWriter) Campaigned(result store.TxnResult, err error) {
	if err == nil && result.Succeeded {
		s.startTerm(result.Revision)
	}
}

// HandleLease processes the lease key as read from the store. It reports whether this
// balancer holds the key with the lease that it campaigned with.
func (s *ShardWriter) HandleLease(kv store.KV) bool {
	holds := kv.Lease == s.lease && !s.lease.IsZero() && string(kv.Value) == s.self
	if holds && s.term != kv.CreateRevision {
		s.startTerm(kv.CreateRevision)
	}
	return holds
}

// ReleaseTxn returns the transaction that deletes the lease key as read from the store, if it
// names this balancer although HandleLease has not accepted it. The lease of such a key is not
// renewed by this balancer, but may be by another one: a store that has returned from an older
// copy assigns the numbers of leases again. No other balancer campaigns while the key exists.
func (s *ShardWriter) ReleaseTxn(kv store.KV) ([]store.Compare, []store.Op, bool) {
	if string(kv.Value) != s.self || s.term != 0 {
		return nil, nil, false
	}
	unchanged := store.Compare{Key: LeaseKey(s.domain), Target: store.CompareCreate, Revision: kv.CreateRevision}
	return []store.Compare{unchanged}, []store.Op{{Key: LeaseKey(s.domain), Delete: true}}, true
}

// startTerm starts a term, also one that is lower than an earlier one, as a store that has
// returned from an older copy may assign it: the conditions of each write are checked by the
// store.
func (s *ShardWriter) startTerm(term int64) {
	s.term = term
	s.loaded = false
	s.pendingHash = 0
}

// LeaseLost ends the term after the store lease has expired, was revoked or is about to be.
func (s *ShardWriter) LeaseLost() {
	s.term, s.lease, s.loaded, s.pendingHash = 0, store.LeaseID{}, false, 0
}

// Term returns the collector's term, which is the create revision of the lease key, or 0
// if this balancer is not the collector.
func (s *ShardWriter) Term() int64 { return s.term }

// NeedsLoad reports whether the stored shard must be read before the next write.
func (s *ShardWriter) NeedsLoad() bool { return s.term != 0 && !s.loaded }

// HandleShard processes the shard as read from the store. A zero KV means that the
// shard does not exist. It returns the records to pass to Node.Load, so that a collector
// that has just started does not write fewer records than its predecessor had. If the value
// or some of its records are malformed, it returns the other records and an error. The next
// write replaces such a value: the processes that it named announce themselves.
func (s *ShardWriter) HandleShard(kv store.KV) ([]Record, error) {
	s.loaded = true
	s.modRevision = kv.ModRevision
	s.storedHash = xxhash.Sum64(kv.Value)
	if kv.ModRevision == 0 {
		return nil, nil
	}
	return DecodeShard(kv.Value)
}

// WriteTxn returns the transaction that stores the domain's records, and whether a
// write is due: the records or the term differ from the stored shard, no write is in
// progress, and the minimum interval since the last comparison, which may not have led
// to a write, has passed. The conditions require the term, so that a collector that was
// paused beyond the end of its lease cannot write, and the shard's mod revision, so that
// a delayed write cannot overwrite a later one. The error is ErrShardSize.
func (s *ShardWriter) WriteTxn(now time.Duration, t *Table) ([]store.Compare, []store.Op, bool, error) {
	if s.term == 0 || !s.loaded || s.pendingHash != 0 || now < s.nextCheck {
		return nil, nil, false, nil
	}
	value := encodeShard(s.term, t.domainRecords(s.domain))
	s.nextCheck = now + minWriteInterval + time.Duration(len(value))*time.Second/maxWriteRate
	if len(value) > ShardLimit {
		return nil, nil, false, errors.Wrapf(ErrShardSize, "%q has %d bytes", s.domain, len(value))
	}
	hash := xxhash.Sum64(value)
	if hash == s.storedHash {
		return nil, nil, false, nil
	}
	s.pendingHash = hash
	conditions := []store.Compare{
		{Key: LeaseKey(s.domain), Target: store.CompareCreate, Revision: s.term},
		{Key: ShardKey(s.domain), Target: store.CompareMod, Revision: s.modRevision},
	}
	return conditions, []store.Op{{Key: ShardKey(s.domain), Value: value}}, true, nil
}

// Written processes the outcome of a write. After an error other than
// store.ErrUnavailable the outcome is unknown, and the stored shard must be read again, as after
// a revision that is not higher than the one before. A
// rejected write also ends the term until HandleLease confirms that the lease key is still
// held; the shard must then be read again too.
func (s *ShardWriter) Written(result store.TxnResult, err error) {
	hash := s.pendingHash
	s.pendingHash = 0
	switch {
	case s.term == 0:
	case err == nil && result.Succeeded && result.Revision <= s.modRevision:
		s.loaded = false // the store has returned from an older copy
	case err == nil && result.Succeeded:
		s.modRevision, s.storedHash = result.Revision, hash
	case err == nil:
		s.term, s.loaded = 0, false
	case !errors.Is(err, store.ErrUnavailable):
		s.loaded = false
	}
}

// domainRecords returns the records of a failure domain's live processes, ordered by
// name.
func (t *Table) domainRecords(domain string) []Record {
	var out []Record
	for _, r := range t.Records() {
		if r.FailureDomain == domain && !r.Gone() {
			out = append(out, r)
		}
	}
	return out
}

func encodeShard(term int64, records []Record) []byte {
	b, err := cbor.Marshal(shardValue{Term: term, Records: records})
	invariant(err == nil, "shard cannot be encoded: %v", err)
	return b
}

// DecodeShard decodes the value of a shard and returns its records. If some of them are
// malformed, it returns the others and an error.
func DecodeShard(value []byte) ([]Record, error) {
	var v struct {
		Records []cbor.RawMessage `cbor:"2,keyasint"`
	}
	if err := cbor.Unmarshal(value, &v); err != nil {
		return nil, errors.Wrap(err, "member: malformed shard")
	}
	records := make([]Record, 0, len(v.Records))
	var first error
	for _, raw := range v.Records {
		var r Record
		err := r.UnmarshalCBOR(raw)
		if err == nil {
			err = r.checkStored()
		}
		if err == nil {
			records = append(records, r)
		} else if first == nil {
			first = err
		}
	}
	if first != nil {
		return records, errors.Wrapf(first, "member: %d of %d records of a shard are malformed, the first", len(v.Records)-len(records), len(v.Records))
	}
	return records, nil
}

// maxStoredCounter limits the epochs and versions in a shard. Processes raise them once a start
// or a change of state, and a record near maxCounter could not be replaced.
const maxStoredCounter = 1 << 48

// checkStored returns an error for a record that no process writes to a shard.
func (r *Record) checkStored() error {
	switch {
	case !r.valid() || r.Epoch >= maxStoredCounter || r.Version >= maxStoredCounter:
		return errors.Newf("%q has state %d, role %d, epoch %d, version %d", r.Name, r.State, r.Role, r.Epoch, r.Version)
	case r.Role == RoleUpstream && r.Data.Port() == 0:
		return errors.Newf("upstream %q has no data address", r.Name)
	case r.Control.Port() == 0:
		// A process that cannot be pinged is never found to have failed.
		return errors.Newf("%q has no control address", r.Name)
	case r.Slots < 0 || r.Connections < 0:
		return errors.Newf("%q has %d slots, %d connections", r.Name, r.Slots, r.Connections)
	}
	return nil
}
