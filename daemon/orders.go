package daemon

import (
	"maps"
	"slices"
	"strings"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/finding"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// OrdersConfig configures how Routes reads the operators' orders to evacuate failure domains.
type OrdersConfig struct {
	Prefix string // prefix of the keys of the orders; empty: no orders are read
	// Decode returns the failure domains that the orders name, and findings whose Field is the key of an
	// invalid order. The orders are sorted by key.
	Decode func(orders []store.KV) (domains []string, found finding.List)
	// Read is called with all evacuated domains after each read of the store and each change that the watch
	// reports, with the store revision at which that is the set. It is called in the order of the
	// revisions and must not call methods of the Routes.
	Read func(revision int64, domains []string)
}

// orders holds the orders in the store as last read. Routes.mu guards it.
type orders struct {
	revision int64 // of the last read, or of the last change that the watch has reported since
	byKey    map[string]store.KV
	reported map[finding.Finding]bool // findings of the last decoding, which are in the log
}

// prefix returns the prefix of the keys to read: the key of the document or, if orders are read, the longest
// prefix that it shares with the orders' keys.
func (c *RoutesConfig) prefix() string {
	if c.Orders.Prefix == "" {
		return c.Key
	}
	n := 0
	for n < min(len(c.Key), len(c.Orders.Prefix)) && c.Key[n] == c.Orders.Prefix[n] {
		n++
	}
	return c.Key[:n]
}

func (c *RoutesConfig) isOrder(key string) bool {
	return c.Orders.Prefix != "" && strings.HasPrefix(key, c.Orders.Prefix)
}

// replaceOrders replaces the orders by those among the keys of a list. A list that is older than what is known
// is ignored.
func (r *Routes) replaceOrders(kvs []store.KV, revision int64) {
	if r.cfg.Orders.Prefix == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.orders.revision {
		return
	}
	r.orders.byKey = make(map[string]store.KV)
	for _, kv := range kvs {
		if r.cfg.isOrder(kv.Key) {
			r.orders.byKey[kv.Key] = kv
		}
	}
	r.passOrders(revision)
}

// updateOrders applies the changes that the watch has reported. Changes of one revision, such as two orders of
// one transaction, are passed on together. Changes older than the last read are ignored: the read may have
// overtaken them.
func (r *Routes) updateOrders(batch store.WatchBatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.orders.byKey == nil {
		return // no list has been read
	}
	pending := int64(0) // revision of the changes that are applied and not passed on; 0 if there are none
	for _, e := range batch.Events {
		revision := e.KV.ModRevision
		if !r.cfg.isOrder(e.KV.Key) || revision < r.orders.revision {
			continue
		}
		if pending != 0 && revision != pending {
			r.passOrders(pending)
		}
		pending = revision
		if e.Deleted {
			delete(r.orders.byKey, e.KV.Key)
		} else {
			r.orders.byKey[e.KV.Key] = e.KV
		}
	}
	if pending != 0 {
		r.passOrders(pending)
	}
}

// passOrders decodes the orders, which are those of the revision, logs new findings and calls
// OrdersConfig.Read. The caller holds the lock.
func (r *Routes) passOrders(revision int64) {
	r.orders.revision = revision
	sorted := make([]store.KV, 0, len(r.orders.byKey))
	for _, key := range slices.Sorted(maps.Keys(r.orders.byKey)) {
		sorted = append(sorted, r.orders.byKey[key])
	}
	domains, found := r.cfg.Orders.Decode(sorted)
	reported := make(map[finding.Finding]bool, len(found))
	for _, f := range found {
		if reported[f] = true; !r.orders.reported[f] {
			r.cfg.Log.Log(event.OrderInvalid, "key", f.Field, "finding", f.Message)
		}
	}
	r.orders.reported = reported
	r.cfg.Orders.Read(revision, domains)
}
