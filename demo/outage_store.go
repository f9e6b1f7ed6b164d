package demo

import (
	"context"

	"github.com/nutmegtrack/nutmegtrack/standin"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// outageStore starts the store's outage at the transaction that replaces the head of the
// lists, which is the only transaction of an edit that has conditions.
type outageStore struct {
	store.Store
	setFaults func(context.Context, standin.StoreFaults) error
	applyTxn  bool // the transaction takes effect and only its response is lost
	started   bool
}

func (s *outageStore) Txn(ctx context.Context, conditions []store.Compare, writes []store.Op) (store.TxnResult, error) {
	if len(conditions) == 0 || s.started {
		return s.Store.Txn(ctx, conditions, writes)
	}
	s.started = true
	down := standin.StoreFaults{Outage: standin.OutageDrop}
	if !s.applyTxn {
		if err := s.setFaults(ctx, down); err != nil {
			return store.TxnResult{}, err
		}
		return s.Store.Txn(ctx, conditions, writes)
	}
	if err := s.setFaults(ctx, standin.StoreFaults{LoseResponses: 1}); err != nil {
		return store.TxnResult{}, err
	}
	result, err := s.Store.Txn(ctx, conditions, writes)
	if failed := s.setFaults(ctx, down); failed != nil {
		return store.TxnResult{}, failed
	}
	return result, err
}
