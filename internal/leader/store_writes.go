package leader

import (
	"encoding/json"
	"fmt"

	"swiftledge/internal/clock"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// commit asks for a transaction, on the condition that the term lasts besides those that are given: one of an older
// leader fails however late it is applied.
func (l *Leader) commit(priority store.Priority, tag TxnTag, conditions []wire.Condition, writes []wire.Write) {
	conditions = append([]wire.Condition{{Key: Key, Version: uint64(l.term)}}, conditions...)
	l.emit(CommitTxn{Term: l.term, Priority: priority, Txn: wire.Txn{Conditions: conditions, Writes: writes}, Tag: tag})
}

// put returns the write of a record.
func put(key string, v any) wire.Write {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %s: %v", key, err)) // our own types always encode
	}
	return wire.Write{Put: key, Value: raw}
}

// decode reads a record of ours; one that cannot be read is logged and left alone.
func decode[T any](l *Leader, it wire.Item) (v T, ok bool) {
	if err := json.Unmarshal(it.Value, &v); err != nil {
		l.info("unreadable record", "key", it.Key, "error", err)
		return v, false
	}
	return v, true
}

// txnCompleted takes in the outcome of a transaction and hands it to the part that asked for it.
func (l *Leader) txnCompleted(now clock.Micros, m TxnCompleted) {
	if m.Result.FailedOn(Key) {
		l.emit(Resign{"the leader key has changed"})
		return
	}
	if m.Result.Rejected {
		// Limits fell below what the settings say.
		l.valueBytes, l.txnOps = store.ReducedLimits(l.valueBytes, l.txnOps)
	}
	if m.Result.Committed {
		l.highestRevision = max(l.highestRevision, m.Result.Revision)
	}
	switch tag := m.Tag.(type) {
	case shardsTag:
		l.shardKeysWritten(tag, m.Result)
	case finalStateTag:
		l.finalStateWritten(now, tag, m.Result)
	case progressTag:
		l.progressWritten(tag, m.Result)
	case instanceGroupTag:
		l.instanceGroupWritten(now, tag, m)
	}
}

// keyRead hands the value of a key to the part that asked for it.
func (l *Leader) keyRead(now clock.Micros, m KeyRead) {
	switch tag := m.Tag.(type) {
	case shardsTag:
		l.shardKeyRead(tag, m)
	case finalStateTag:
		l.finalStateRead(now, tag, m)
	case progressTag:
		l.progress.ReadBack(tag.write, m.Item.Version)
	case instanceGroupTag:
		l.instanceGroupRead(now, tag, m)
	}
}
