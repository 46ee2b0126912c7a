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
	// storeTimeout is how long a controller waits for an answer of the state service.
	storeTimeout = 1500 * clock.Millisecond
	// storeRetry is how long it waits before it repeats a request.
	storeRetry = 100 * clock.Millisecond
	// leaderKeyRetry is the same for the leader's key.
	leaderKeyRetry = 200 * clock.Millisecond
	// minExtraDelay and extraDelayRange bound how late a delayed message arrives.
	minExtraDelay, extraDelayRange = 2 * clock.Second, 10 * clock.Second
)

// extraDelay is how late a delayed message arrives.
func (w *world) extraDelay(spread clock.Micros) clock.Micros {
	return minExtraDelay + clock.Micros(w.rng.Int64N(int64(spread)))
}

// reachesStore says whether requests to the state service arrive and are answered.
func (c *simController) reachesStore() bool {
	return !c.faults.storeUnreachable && !c.world.store.Down && !c.world.isPartitioned(c.cfg.Zone, "")
}

// callStore carries a request to the state service and its answer back.
func (c *simController) callStore(execute func(), answer func(err error)) {
	w := c.world
	w.traffic.storeRequests++
	noAnswer := func() { answer(store.ErrOutcomeUnknown) }
	w.after(w.latency(), func() {
		heldUntil := c.faults.requestsDelayedUntil
		if w.isPartitioned(c.cfg.Zone, "") {
			heldUntil = w.faults.partitionedUntil
		}
		switch {
		case heldUntil > w.now:
			// Held on the way: carried out long after the sender gave up.
			w.after(heldUntil-w.now, func() {
				if !w.store.Down {
					execute()
				}
			})
			w.after(storeTimeout, c.ifSameProcess(noAnswer))
		case !c.reachesStore():
			w.after(w.latency(), c.ifSameProcess(func() { answer(store.ErrNotExecuted) }))
		case c.faults.storeResponsesToLose > 0:
			c.faults.storeResponsesToLose--
			execute()
			w.after(storeTimeout, c.ifSameProcess(noAnswer))
		default:
			execute()
			w.after(w.latency(), c.ifSameProcess(func() { answer(nil) }))
		}
	})
}

// losesResponse says whether a transaction is carried out now and gets no answer.
func (c *simController) losesResponse() bool {
	return c.faults.lostResponseShare > 0 && c.world.rng.Float64() < c.faults.lostResponseShare
}

// delaysTxn says whether a transaction gets no answer, and has it carried out after newer ones.
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
func (c *simController) tryTxn(t wire.Txn, answer func(store.TxnResult, error)) {
	c.recordTxn(t)
	w := c.world
	noAnswer := func() { answer(store.TxnResult{}, store.ErrOutcomeUnknown) }
	if c.reachesStore() && c.losesResponse() {
		w.store.Txn(t)
		w.after(storeTimeout, c.ifSameProcess(noAnswer))
		return
	}
	if c.delaysTxn(t) {
		w.after(storeTimeout, c.ifSameProcess(noAnswer))
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
		answer(result, err)
	})
}

// noteMalformedTxn notes that a transaction broke the limits of the state service, or its form.
func (w *world) noteMalformedTxn(problem string) {
	w.rules.malformedTxns++
	if !w.faults.limitsUnannounced {
		w.reportViolation("malformed transaction: %s", problem)
	}
}

// commitCall is a transaction that is repeated until it is answered.
type commitCall struct {
	txn       wire.Txn
	ambiguous bool        // an earlier try may have been carried out
	isNeeded  func() bool // the sender still waits
	onResult  func(store.TxnResult, error)
}

// commit sends a transaction until it is answered or nobody waits for it any more.
func (c *simController) commit(call commitCall) {
	c.tryTxn(call.txn, func(result store.TxnResult, err error) {
		if !call.isNeeded() {
			return
		}
		outcomeUnknown := errors.Is(err, store.ErrOutcomeUnknown)
		if outcomeUnknown || errors.Is(err, store.ErrNotExecuted) {
			call.ambiguous = call.ambiguous || outcomeUnknown
			c.world.after(storeRetry, c.ifSameProcess(func() { c.commit(call) }))
			return
		}
		result.Ambiguous = call.ambiguous
		call.onResult(result, err)
	})
}

// Get serves the users' requests, which scenarios make outside of time.
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

// TryCommit serves the users' requests, as Get does.
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

// termCall is a request to the state service that a leader needs an answer to.
type termCall struct {
	term      cluster.Term
	execute   func()
	onSuccess func()
	retry     func() // after no answer
}

// callInTerm sends a request, unless nobody waits for the answer any more as another term has begun.
func (c *simController) callInTerm(call termCall) {
	c.callStore(call.execute, func(err error) {
		switch {
		case c.elector.Term() != call.term:
		case err != nil:
			c.world.after(storeRetry, c.ifSameProcess(call.retry))
		default:
			call.onSuccess()
		}
	})
}
