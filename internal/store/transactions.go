package store

import (
	"context"
	"errors"
	"slices"

	"github.com/valyala/fasthttp"

	"swiftledge/wire"
)

// TxnResult is the outcome of a transaction.
type TxnResult struct {
	Committed bool
	Revision  uint64
	// FailedKeys are the keys whose conditions did not hold.
	FailedKeys []string
	// LeaseExpired is set when the transaction names a lease that no longer exists.
	LeaseExpired bool
	// Ambiguous is set when an earlier attempt of the same transaction got no answer. The earlier attempt may have been
	// executed, and may itself be the reason why a condition failed.
	Ambiguous bool
	// Rejected is set when the service rejected this attempt as malformed, most likely because of its size. Every
	// retry of the same transaction would be rejected, too.
	Rejected bool
}

// FailedOn reports whether the condition on key failed.
func (r TxnResult) FailedOn(key string) bool { return slices.Contains(r.FailedKeys, key) }

// Lower bounds for ReducedLimits.
const (
	minValueBytes = 900
	minTxnOps     = 2
)

// ReducedLimits halves the limits of bytes per value and of operations per transaction, down to their lower bounds.
// Callers reduce the limits after a transaction was rejected, since every transaction of the same size would be
// rejected.
func ReducedLimits(valueBytes, txnOps int) (reducedBytes, reducedOps int) {
	return max(valueBytes/2, minValueBytes), max(txnOps/2, minTxnOps)
}

// TryCommit sends a transaction once, without retries.
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
		return result, r.newError(ErrMalformed, errors.New(response.Error))
	}
	return TxnResult{}, r.statusError(status)
}

// firstWrittenKey returns the key that identifies a transaction in error texts.
func firstWrittenKey(txn wire.Txn) string {
	if len(txn.Writes) == 0 {
		return ""
	}
	return txn.Writes[0].Put + txn.Writes[0].Delete // one of them is empty
}

// Commit retries a transaction with backoff until the state service gives a definite answer or ctx ends.
func (c *Client) Commit(ctx context.Context, priority Priority, txn wire.Txn) (TxnResult, error) {
	ambiguous := false
	for attempt := 0; ; attempt++ {
		result, err := c.TryCommit(ctx, priority, txn)
		switch {
		case errors.Is(err, ErrOutcomeUnknown):
			ambiguous = true
		case !errors.Is(err, ErrNotExecuted):
			// The answer is definite. An answer that the transaction is malformed concerns this attempt only: the
			// limits may have been lowered since an earlier attempt.
			result.Ambiguous = ambiguous
			return result, err
		}
		if !Backoff(ctx, attempt) {
			return TxnResult{Ambiguous: ambiguous}, err
		}
	}
}
