package scenario

import (
	"context"
	"errors"

	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

const (
	// storeTimeout is how long a controller waits for a response of the state service.
	storeTimeout = 1500 * clock.Millisecond
	// storeRetryDelay is how long a controller waits before it retries a request to the state service.
	storeRetryDelay = 100 * clock.Millisecond
	// leaderKeyRetryDelay is how long a controller waits before it retries a read of the leader's key.
	leaderKeyRetryDelay = 200 * clock.Millisecond
	// minExtraDelay is the minimum delay of a late message, and extraDelayRange the range of delays above it.
	minExtraDelay, extraDelayRange = 2 * clock.Second, 10 * clock.Second
)

// extraDelay draws the delay of a late message from a range above minExtraDelay.
func (w *world) extraDelay(delayRange clock.Micros) clock.Micros {
	return minExtraDelay + clock.Micros(w.rng.Int64N(int64(delayRange)))
}

// reachesStore reports whether requests to the state service arrive and get a response.
func (c *simController) reachesStore() bool {
	return !c.faults.storeUnreachable && !c.world.store.Down && !c.world.isPartitioned(c.cfg.Zone, "")
}

// callStore sends a request to the state service and calls onResponse with the outcome.
func (c *simController) callStore(execute func(), onResponse func(err error)) {
	w := c.world
	w.traffic.storeRequests++
	timeOut := func() { onResponse(store.ErrOutcomeUnknown) }
	w.after(w.latency(), func() {
		delayedUntil := c.faults.requestsDelayedUntil
		if w.isPartitioned(c.cfg.Zone, "") {
			delayedUntil = w.faults.partitionedUntil
		}
		switch {
		case delayedUntil > w.now:
			// The network delays the request: it is executed long after the sender's timeout.
			w.after(delayedUntil-w.now, func() {
				if !w.store.Down {
					execute()
				}
			})
			w.after(storeTimeout, c.ifSameProcess(timeOut))
		case !c.reachesStore():
			w.after(w.latency(), c.ifSameProcess(func() { onResponse(store.ErrNotExecuted) }))
		case c.faults.storeResponsesToLose > 0:
			c.faults.storeResponsesToLose--
			execute()
			w.after(storeTimeout, c.ifSameProcess(timeOut))
		default:
			execute()
			w.after(w.latency(), c.ifSameProcess(func() { onResponse(nil) }))
		}
	})
}

// losesResponse draws whether a transaction loses its response. The caller then executes the transaction at once.
func (c *simController) losesResponse() bool {
	return c.faults.lostResponseShare > 0 && c.world.rng.Float64() < c.faults.lostResponseShare
}

// delaysTxn draws whether a transaction is late and gets no response. It schedules the execution of a late transaction,
// so that the transaction is executed after newer transactions.
func (c *simController) delaysTxn(t wire.Txn) bool {
	w := c.world
	if c.faults.lateTxnShare == 0 || !c.reachesStore() || w.rng.Float64() >= c.faults.lateTxnShare {
		return false
	}
	w.after(w.extraDelay(extraDelayRange), func() {
		if !w.store.Down {
			w.store.Txn(t)
		}
	})
	return true
}

// tryTxn sends a transaction once.
func (c *simController) tryTxn(t wire.Txn, onResult func(store.TxnResult, error)) {
	c.recordTxn(t)
	w := c.world
	timeOut := func() { onResult(store.TxnResult{}, store.ErrOutcomeUnknown) }
	if c.reachesStore() && c.losesResponse() {
		w.store.Txn(t)
		w.after(storeTimeout, c.ifSameProcess(timeOut))
		return
	}
	if c.delaysTxn(t) {
		w.after(storeTimeout, c.ifSameProcess(timeOut))
		return
	}
	var result store.TxnResult
	var problem string
	c.callStore(func() { result, problem = w.store.Txn(t) }, func(err error) {
		if err == nil && problem != "" {
			err = errors.New(problem)
			if result.Rejected = !result.LeaseExpired; result.Rejected {
				w.noteMalformedTxn(problem)
			}
		}
		if err != nil {
			result = store.TxnResult{LeaseExpired: result.LeaseExpired, Rejected: result.Rejected}
		}
		onResult(result, err)
	})
}

// noteMalformedTxn counts a transaction that exceeded a limit of the state service or was otherwise malformed. A
// malformed transaction is a violation unless the limits fell unannounced.
func (w *world) noteMalformedTxn(problem string) {
	w.rules.malformedTxns++
	if !w.faults.limitsUnannounced {
		w.reportViolation("malformed transaction: %s", problem)
	}
}

// commitCall is a transaction that is retried until its outcome is known.
type commitCall struct {
	txn       wire.Txn
	ambiguous bool        // the state service may have executed an earlier try whose response was lost
	isNeeded  func() bool // reports whether the sender still waits for the result
	onResult  func(store.TxnResult, error)
}

// commit sends a transaction and retries it until its outcome is known or the sender does not need it any more.
func (c *simController) commit(call commitCall) {
	c.tryTxn(call.txn, func(result store.TxnResult, err error) {
		if !call.isNeeded() {
			return
		}
		outcomeUnknown := errors.Is(err, store.ErrOutcomeUnknown)
		if outcomeUnknown || errors.Is(err, store.ErrNotExecuted) {
			call.ambiguous = call.ambiguous || outcomeUnknown
			c.world.after(storeRetryDelay, c.ifSameProcess(func() { c.commit(call) }))
			return
		}
		result.Ambiguous = call.ambiguous
		call.onResult(result, err)
	})
}

// Get reads a key for the user service. Simulated users' requests take no simulated time.
func (c *simController) Get(_ context.Context, _ store.Priority, key string) (wire.Item, error) {
	c.recordRead(key)
	if !c.reachesStore() {
		return wire.Item{}, store.ErrNotExecuted
	}
	if item, ok := c.world.store.Get(key); ok {
		return item, nil
	}
	return wire.Item{}, store.ErrNotFound
}

// TryCommit commits a transaction for the user service, in no simulated time.
func (c *simController) TryCommit(_ context.Context, _ store.Priority, t wire.Txn) (store.TxnResult, error) {
	c.recordTxn(t)
	if !c.reachesStore() {
		return store.TxnResult{}, store.ErrNotExecuted
	}
	if c.delaysTxn(t) {
		return store.TxnResult{}, store.ErrOutcomeUnknown
	}
	result, problem := c.world.store.Txn(t)
	if problem != "" {
		return result, errors.New(problem)
	}
	if c.faults.storeResponsesToLose > 0 || c.losesResponse() {
		c.faults.storeResponsesToLose = max(0, c.faults.storeResponsesToLose-1)
		return store.TxnResult{}, store.ErrOutcomeUnknown
	}
	return result, nil
}

// termCall is a request of a leader to the state service that is retried until it succeeds or the term ends.
type termCall struct {
	term      cluster.Term
	execute   func()
	onSuccess func()
	retry     func() // called after a failure
}

// callInTerm sends a leader's request to the state service. It drops the response if the leader's term has ended
// meanwhile.
func (c *simController) callInTerm(call termCall) {
	c.callStore(call.execute, func(err error) {
		switch {
		case c.elector.Term() != call.term:
		case err != nil:
			c.world.after(storeRetryDelay, c.ifSameProcess(call.retry))
		default:
			call.onSuccess()
		}
	})
}
