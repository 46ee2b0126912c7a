package store

import (
	"context"
	"errors"
	"slices"

	"github.com/valyala/fasthttp"

	"swiftledge/wire"
)

// TxnResult is what became of a transaction.
type TxnResult struct {
	Committed bool
	Revision  uint64
	// FailedKeys are the keys whose conditions did not hold.
	FailedKeys []string
	// LeaseExpired is set when the transaction names a lease that no longer exists.
	LeaseExpired bool
	// Ambiguous is set when an earlier try of the same transaction got no answer, so that a condition that failed
	// may be its own doing.
	Ambiguous bool
	// Rejected is set when this try was refused for its form, so most likely for its size, and would be for ever.
	Rejected bool
}

// FailedOn says whether the condition on key failed.
func (r TxnResult) FailedOn(key string) bool { return slices.Contains(r.FailedKeys, key) }

// What a transaction is reduced to at least.
const (
	minValueBytes = 900
	minTxnOps     = 2
)

// ReducedLimits returns the bytes of a value and the operations of a transaction to keep to after a transaction
// was rejected, as the same again would be rejected for ever.
func ReducedLimits(valueBytes, txnOps int) (reducedBytes, reducedOps int) {
	return max(valueBytes/2, minValueBytes), max(txnOps/2, minTxnOps)
}

// TryCommit tries a transaction once.
func (c *Client) TryCommit(ctx context.Context, priority Priority, txn wire.Txn) (TxnResult, error) {
	if txn.Conditions == nil {
		txn.Conditions = []wire.Condition{}
	}
	r := request{
		operation: OperationCommit, key: firstWrittenKey(txn), priority: priority, writes: len(txn.Writes),
		connections: c.connections, method: fasthttp.MethodPost, uri: "/multi", body: txn, timeout: requestTimeout,
	}
	var response wire.TxnResponse
	status, err := c.do(ctx, r, &response)
	if err != nil {
		return TxnResult{}, err
	}
	switch status {
	case fasthttp.StatusOK:
		return TxnResult{Committed: true, Revision: response.Revision}, nil
	case fasthttp.StatusConflict:
		return TxnResult{Revision: response.Revision, FailedKeys: response.Failed}, nil
	case fasthttp.StatusBadRequest:
		leaseExpired := response.Error == "no such lease"
		result := TxnResult{LeaseExpired: leaseExpired, Rejected: !leaseExpired}
		return result, r.failed(ErrMalformed, errors.New(response.Error))
	}
	return TxnResult{}, r.refused(status)
}

// firstWrittenKey returns the key that stands for a transaction in errors.
func firstWrittenKey(txn wire.Txn) string {
	if len(txn.Writes) == 0 {
		return ""
	}
	return txn.Writes[0].Put + txn.Writes[0].Delete // one of them is empty
}

// Commit repeats a transaction until the state service has decided on it or ctx ends.
func (c *Client) Commit(ctx context.Context, priority Priority, txn wire.Txn) (TxnResult, error) {
	ambiguous := false
	for attempt := 0; ; attempt++ {
		result, err := c.TryCommit(ctx, priority, txn)
		switch {
		case errors.Is(err, ErrOutcomeUnknown):
			ambiguous = true
		case !errors.Is(err, ErrNotExecuted):
			// It was decided on. That it is malformed, as limits may have fallen, is proven of this try only.
			result.Ambiguous = ambiguous
			return result, err
		}
		if !Backoff(ctx, attempt) {
			return TxnResult{Ambiguous: ambiguous}, err
		}
	}
}
