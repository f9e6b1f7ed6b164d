package etcd

import (
	"context"
	"fmt"
	"time"

	"github.com/nutmegtrack/nutmegtrack/store"
	"github.com/nutmegtrack/nutmegtrack/store/etcd/wire"
)

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.KV, error) {
	var resp wire.RangeResponse
	stale := store.StaleAllowed(ctx)
	req := wire.RangeRequest{Key: []byte(key), Serializable: stale}
	if err := c.callChecked(ctx, read, wire.PathRange, req, &resp, &resp.Header, stale); err != nil {
		return store.KV{}, err
	}
	if len(resp.KVs) == 0 {
		return store.KV{}, fmt.Errorf("%w: key %q", store.ErrNotFound, key)
	}
	return keyValue(resp.KVs[0]), nil
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.KV, int64, error) {
	var resp wire.RangeResponse
	from, end := prefixRange(prefix)
	stale := store.StaleAllowed(ctx)
	req := wire.RangeRequest{Key: from, RangeEnd: end, Serializable: stale}
	if err := c.callChecked(ctx, read, wire.PathRange, req, &resp, &resp.Header, stale); err != nil {
		return nil, 0, err
	}
	kvs := make([]store.KV, len(resp.KVs))
	for i, kv := range resp.KVs {
		kvs[i] = keyValue(kv)
	}
	return kvs, int64(resp.Header.Revision), nil
}

// Txn implements store.Store.
func (c *Client) Txn(ctx context.Context, conditions []store.Compare, writes []store.Op) (store.TxnResult, error) {
	var req wire.TxnRequest
	for _, condition := range conditions {
		req.Compare = append(req.Compare, compare(condition))
	}
	for _, op := range writes {
		req.Success = append(req.Success, requestOp(op))
	}
	var resp wire.TxnResponse
	if err := c.callChecked(ctx, write, wire.PathTxn, req, &resp, &resp.Header, false); err != nil {
		return store.TxnResult{}, err
	}
	return store.TxnResult{Succeeded: resp.Succeeded, Revision: int64(resp.Header.Revision)}, nil
}

// Grant implements store.Store. If the response is lost, the store has a lease whose ID
// no process knows; it expires by itself.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var resp wire.Lease
	err := c.call(ctx, write, wire.PathGrant, wire.Lease{TTL: wire.Int64(seconds)}, &resp)
	return store.LeaseID{Number: int64(resp.ID)}, err
}

// KeepAlive implements store.Store. After ErrUnknown the owner of the lease must assume
// that it was not renewed.
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	var resp wire.Stream[wire.Lease]
	if err := c.call(ctx, renew, wire.PathKeepAlive, wire.Lease{ID: wire.Int64(id.Number)}, &resp); err != nil {
		return 0, err
	}
	if resp.Result == nil || resp.Result.TTL <= 0 {
		return 0, fmt.Errorf("%w: lease %d", store.ErrNotFound, id.Number)
	}
	return time.Duration(resp.Result.TTL) * time.Second, nil
}

// Revoke implements store.Store.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	var resp wire.Lease
	return c.call(ctx, write, wire.PathRevoke, wire.Lease{ID: wire.Int64(id.Number)}, &resp)
}

// prefixRange returns the range of all keys with the prefix. The smallest key is
// "\x00", because the protocol has no empty key.
func prefixRange(prefix string) (from, end []byte) {
	if prefix == "" {
		return []byte{0}, []byte{0}
	}
	return []byte(prefix), []byte(wire.PrefixEnd(prefix))
}

func keyValue(kv wire.KeyValue) store.KV {
	return store.KV{
		Key:            string(kv.Key),
		Value:          kv.Value,
		CreateRevision: int64(kv.CreateRevision),
		ModRevision:    int64(kv.ModRevision),
		Lease:          store.LeaseID{Number: int64(kv.Lease)},
	}
}

func compare(c store.Compare) wire.Compare {
	revision := wire.Int64(c.Revision)
	out := wire.Compare{Result: wire.ResultEqual, Key: []byte(c.Key)}
	if c.Target == store.CompareCreate {
		out.Target, out.CreateRevision = wire.TargetCreate, &revision
		return out
	}
	out.Target, out.ModRevision = wire.TargetMod, &revision
	return out
}

func requestOp(op store.Op) wire.RequestOp {
	if op.Delete {
		return wire.RequestOp{Delete: &wire.DeleteRangeRequest{Key: []byte(op.Key)}}
	}
	put := &wire.PutRequest{Key: []byte(op.Key), Value: op.Value, Lease: wire.Int64(op.Lease.Number)}
	return wire.RequestOp{Put: put}
}
