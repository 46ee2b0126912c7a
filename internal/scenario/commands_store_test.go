package scenario

// Commands about the state service.

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// storeCommand begins or ends an outage of the state service.
func storeCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	if d.HasArg("down") {
		w.store.Down = true
	} else {
		w.store.EndOutage(w.now)
	}
	return ""
}

// limitsCommand lowers the limits of the state service on the size of a value and the writes of a transaction.
func limitsCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	w.store.SetLimits(2, 4)
	w.faults.limitsUnannounced = w.nextLimits == nil || d.HasArg("unannounced")
	return ""
}

// compactCommand compacts the state service's change log.
func compactCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	w.store.CompactChanges()
	return ""
}

// malformedTxnsCommand tells whether the state service rejected at most a number of transactions as malformed.
func malformedTxnsCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	if limit := arg(t, d, "most", 0); w.rules.malformedTxns > limit {
		return fmt.Sprint(w.rules.malformedTxns)
	}
	return "few"
}

// keysCommand counts the keys with a prefix.
func keysCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	items, _ := w.store.List(arg(t, d, "prefix", ""))
	return fmt.Sprint(len(items))
}

// largestValueCommand tells whether no value whose key has a prefix is larger than a size in bytes.
func largestValueCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	items, _ := w.store.List(arg(t, d, "prefix", ""))
	n := 0
	for _, it := range items {
		n = max(n, len(it.Value))
	}
	if n > arg(t, d, "most", 2048) {
		return "over"
	}
	return "within"
}
