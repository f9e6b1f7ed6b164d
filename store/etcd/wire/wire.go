// Package wire declares the messages of the etcd v3 JSON-over-HTTP protocol that
// nutmegtrack uses. Keys and values are base64, 64-bit numbers are strings, and
// fields with a zero value are omitted.
package wire

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// Paths of the calls.
const (
	PathRange      = "/v3/kv/range"
	PathTxn        = "/v3/kv/txn"
	PathPut        = "/v3/kv/put"
	PathCompaction = "/v3/kv/compaction"
	PathGrant      = "/v3/lease/grant"
	PathKeepAlive  = "/v3/lease/keepalive"
	PathRevoke     = "/v3/lease/revoke"
	PathWatch      = "/v3/watch"
)

// gRPC status codes in the body of an error.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnavailable       = 14
)

// Error messages of the store.
const (
	MessageNoLeader     = "etcdserver: no leader"
	MessageNoLease      = "etcdserver: requested lease not found"
	MessageDuplicateKey = "etcdserver: duplicate key given in txn request"
	MessageCompacted    = "etcdserver: mvcc: required revision has been compacted"
)

// Int64 is a 64-bit number, encoded as a string and decoded from a string or a number.
type Int64 int64

// MarshalJSON encodes the number as a string.
func (n Int64) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(n), 10) + `"`), nil
}

// UnmarshalJSON decodes a string or a number.
func (n *Int64) UnmarshalJSON(b []byte) error {
	v, err := strconv.ParseInt(string(bytes.Trim(b, `"`)), 10, 64)
	*n = Int64(v)
	return err
}

// Header is part of every response.
type Header struct {
	ClusterID ID    `json:"cluster_id,omitempty"`
	Revision  Int64 `json:"revision,omitempty"`
}

// ID is the decimal text of an unsigned 64-bit number that is only compared. It is decoded
// from a string or a number.
type ID string

// UnmarshalJSON decodes a string or a number.
func (id *ID) UnmarshalJSON(b []byte) error {
	*id = ID(bytes.Trim(b, `"`))
	return nil
}

// KeyValue is one key with its value and revisions.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          Int64  `json:"lease,omitempty"`
}

// RangeRequest reads a key, or the keys in [Key, RangeEnd).
type RangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Revision Int64  `json:"revision,omitempty"`
	// Serializable allows a read from a member whose data may be stale.
	Serializable bool `json:"serializable,omitempty"`
}

// RangeResponse holds the keys in key order.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  Int64      `json:"count,omitempty"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease Int64  `json:"lease,omitempty"`
}

// PutResponse is the response to a put.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRangeRequest deletes a key.
type DeleteRangeRequest struct {
	Key []byte `json:"key,omitempty"`
}

// Values of Compare.Result and Compare.Target.
const (
	ResultEqual  = "EQUAL"
	TargetCreate = "CREATE"
	TargetMod    = "MOD"
)

// Compare is a condition of a transaction. A missing Result means EQUAL.
type Compare struct {
	Result         string `json:"result,omitempty"`
	Target         string `json:"target,omitempty"`
	Key            []byte `json:"key,omitempty"`
	CreateRevision *Int64 `json:"create_revision,omitempty"`
	ModRevision    *Int64 `json:"mod_revision,omitempty"`
}

// RequestOp is one operation of a transaction.
type RequestOp struct {
	Put    *PutRequest         `json:"request_put,omitempty"`
	Delete *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest runs Success when all comparisons hold, else Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse is the response to a transaction. The results of its operations are not
// decoded.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// CompactionRequest removes the history up to and including Revision.
type CompactionRequest struct {
	Revision Int64 `json:"revision,omitempty"`
}

// Lease is the request and the response of grant, keepalive and revoke. TTL is in
// seconds; a keepalive response without it means that the lease has expired.
type Lease struct {
	Header *Header `json:"header,omitempty"`
	ID     Int64   `json:"ID,omitempty"`
	TTL    Int64   `json:"TTL,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create *WatchCreate `json:"create_request,omitempty"`
}

// WatchCreate selects the keys to watch and the first revision to report; StartRevision
// 0 means only changes from now on.
type WatchCreate struct {
	Key           []byte `json:"key,omitempty"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision Int64  `json:"start_revision,omitempty"`
}

// EventDelete is the type of a deletion; a put has no type.
const EventDelete = "DELETE"

// Event is the change of one key.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResponse is one message of a watch stream.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision Int64   `json:"compact_revision,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// Stream wraps each message of a streamed response.
type Stream[T any] struct {
	Result *T     `json:"result,omitempty"`
	Error  *Error `json:"error,omitempty"`
}

// Error is the response body of a failed call.
type Error struct {
	Code    int    `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

// DecodeError decodes the response body of a failed call. A body of another form, such
// as a proxy's error page, becomes the message so that it is reported.
func DecodeError(body []byte) Error {
	var e Error
	if err := json.Unmarshal(body, &e); err != nil || e.Message == "" {
		e.Message = string(bytes.TrimSpace(body))
	}
	return e
}

// PrefixEnd returns the exclusive end of the range of keys with the prefix; "\x00" is
// the end of the key space.
func PrefixEnd(prefix string) string {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return string(end[:i+1])
		}
	}
	return "\x00"
}
