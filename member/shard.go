package member

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/nutmegtrack/nutmegtrack/store"
)

const (
	// ShardPrefix is the prefix of the keys of all shards. A starting balancer
	// lists it.
	ShardPrefix = "members/"
	// LeasePrefix is the prefix of the keys whose holders write the shards.
	LeasePrefix = "collectors/"
	// ShardLimit is the size up to which the store takes a value, in bytes.
	ShardLimit = 1 << 20

	shardPause = 2 * time.Second
	// shardRate spreads the writes of a large shard: a shard of 3,800 records
	// would otherwise take more than the daemon's 6 KB/s for each change.
	shardRate = 2000 // bytes/s
	// candidates is the number of balancers that campaign for a domain's lease.
	candidates = 2
)

// ErrShardSize says that a domain's records exceed ShardLimit. They are not
// written; the membership goes on without the shard.
var ErrShardSize = errors.New("member: shard exceeds the store's limit")

// ShardKey returns the key of a failure domain's shard.
func ShardKey(domain string) string { return ShardPrefix + domain }

// LeaseKey returns the key that the collector of a failure domain holds.
func LeaseKey(domain string) string { return LeasePrefix + domain }

// Shard decides when a balancer writes the records of its failure domain to the
// store, and under which conditions. The daemon executes the transactions.
type Shard struct {
	domain  string
	self    string
	lease   store.LeaseID
	term    int64 // create revision of the lease key; 0 when not the collector
	loaded  bool  // the stored shard was read in this term
	mod     int64 // mod revision of the stored shard
	stored  uint64
	pending uint64 // hash of the write in progress; 0 when there is none
	next    time.Duration
}

// shardValue is the stored form of a shard.
type shardValue struct {
	Term    int64    `cbor:"1,keyasint"`
	Records []Record `cbor:"2,keyasint"`
}

// NewShard returns the shard writer of the balancer self.
func NewShard(domain, self string) *Shard { return &Shard{domain: domain, self: self} }

// Candidate reports whether this balancer should campaign: it is among the first
// two of its domain's live balancers, so that most balancers never call the store.
func (s *Shard) Candidate(t *Table) bool {
	for _, b := range t.domainBalancers(s.domain).rank("collector of "+s.domain, candidates) {
		if b.Name == s.self && b.FailureDomain == s.domain {
			return true
		}
	}
	return false
}

// Campaign returns the transaction that takes the lease key when it is free.
func (s *Shard) Campaign(lease store.LeaseID) ([]store.Compare, []store.Op) {
	s.lease = lease
	free := store.Compare{Key: LeaseKey(s.domain), Target: store.CompareCreate, Revision: 0}
	take := store.Op{Key: LeaseKey(s.domain), Value: []byte(s.self), Lease: lease}
	return []store.Compare{free}, []store.Op{take}
}

// Campaigned takes the outcome of the campaign. After ErrUnknown the daemon reads
// the lease key and passes it to ReadLease.
func (s *Shard) Campaigned(result store.TxnResult, err error) {
	if err == nil && result.Succeeded {
		s.begin(result.Revision)
	}
}

// ReadLease takes the lease key as read from the store and reports whether this
// balancer holds it under the lease it campaigned with.
func (s *Shard) ReadLease(kv store.KV) bool {
	holds := kv.Lease == s.lease && s.lease != 0 && string(kv.Value) == s.self
	if holds && s.term != kv.CreateRevision {
		s.begin(kv.CreateRevision)
	}
	return holds
}

func (s *Shard) begin(term int64) {
	invariant(term > s.term, "collector term went from %d back to %d", s.term, term)
	s.term = term
	s.loaded = false
	s.pending = 0
}

// Lost says that the lease has lapsed or was revoked.
func (s *Shard) Lost() { s.term, s.lease, s.loaded, s.pending = 0, 0, false, 0 }

// Term returns the create revision of the lease key, or 0 when this balancer is
// not the collector.
func (s *Shard) Term() int64 { return s.term }

// NeedsLoad reports whether the stored shard must be read before the next write.
func (s *Shard) NeedsLoad() bool { return s.term != 0 && !s.loaded }

// Load takes the shard as read from the store; a zero KV means that there is
// none. It returns the records for Node.Load, so that a collector that has just
// started writes no less than its predecessor knew. The error says that the value
// is malformed; it is not overwritten.
func (s *Shard) Load(kv store.KV) ([]Record, error) {
	var records []Record
	if kv.ModRevision != 0 {
		var err error
		if records, err = DecodeShard(kv.Value); err != nil {
			return nil, err
		}
	}
	s.loaded = true
	s.mod = kv.ModRevision
	s.stored = xxhash.Sum64(kv.Value)
	return records, nil
}

// Write returns the transaction that stores the domain's records, and whether one
// is due: the records have changed, no write is in progress, and the pause since
// the last one is over. The conditions carry the term, so that a holder that was
// paused past its lease changes nothing, and the shard's revision, so that a
// delayed write does not undo a later one. The error is ErrShardSize.
func (s *Shard) Write(now time.Duration, t *Table) ([]store.Compare, []store.Op, bool, error) {
	if s.term == 0 || !s.loaded || s.pending != 0 || now < s.next {
		return nil, nil, false, nil
	}
	value := encodeShard(s.term, t.domainRecords(s.domain))
	s.next = now + shardPause + time.Duration(len(value))*time.Second/shardRate
	if len(value) > ShardLimit {
		return nil, nil, false, errors.Wrapf(ErrShardSize, "%q has %d bytes", s.domain, len(value))
	}
	hash := xxhash.Sum64(value)
	if hash == s.stored {
		return nil, nil, false, nil
	}
	s.pending = hash
	conditions := []store.Compare{
		{Key: LeaseKey(s.domain), Target: store.CompareCreate, Revision: s.term},
		{Key: ShardKey(s.domain), Target: store.CompareMod, Revision: s.mod},
	}
	return conditions, []store.Op{{Key: ShardKey(s.domain), Value: value}}, true, nil
}

// Written takes the outcome of a write. After any doubt the stored shard is read
// again; a write that was refused also ends the term until ReadLease confirms it.
func (s *Shard) Written(result store.TxnResult, err error) {
	hash := s.pending
	s.pending = 0
	switch {
	case s.term == 0:
	case err == nil && result.Succeeded:
		invariant(result.Revision > s.mod, "shard revision went from %d back to %d", s.mod, result.Revision)
		s.mod, s.stored = result.Revision, hash
	case err == nil:
		s.term, s.loaded = 0, false
	case !errors.Is(err, store.ErrUnavailable):
		s.loaded = false
	}
}

// domainRecords returns the records of a failure domain's live processes by name.
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

// DecodeShard returns the records of a stored shard.
func DecodeShard(value []byte) ([]Record, error) {
	var v shardValue
	if err := cbor.Unmarshal(value, &v); err != nil {
		return nil, errors.Wrap(err, "member: malformed shard")
	}
	return v.Records, nil
}
