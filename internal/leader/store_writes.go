package leader

import (
	"encoding/json"
	"fmt"

	"swiftledge/internal/clock"
	"swiftledge/internal/exactjson"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// commit requests a transaction under the given conditions and the condition that the term has not ended: a transaction
// of a former leader fails however late it is applied.
func (l *Leader) commit(priority store.Priority, tag TxnTag, conditions []wire.Condition, writes []wire.Write) {
	conditions = append([]wire.Condition{{Key: Key, Version: uint64(l.term)}}, conditions...)
	l.emit(CommitTxn{Term: l.term, Priority: priority, Txn: wire.Txn{Conditions: conditions, Writes: writes}, Tag: tag})
}

// put returns the write of a record.
func put(key string, v any) wire.Write {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %s: %v", key, err)) // the records of this package can always be encoded
	}
	return wire.Write{Put: key, Value: raw}
}

// decode decodes a stored record. It logs a record that cannot be decoded, and leaves the record in the store as it is.
func decode[T any](l *Leader, item wire.Item) (v T, ok bool) {
	if err := exactjson.Unmarshal(item.Value, &v); err != nil {
		l.info("cannot decode stored record", "key", item.Key, "error", err)
		return v, false
	}
	return v, true
}

// txnCompleted dispatches the outcome of a transaction by its tag.
func (l *Leader) txnCompleted(now clock.Micros, m TxnCompleted) {
	if m.Result.FailedOn(Key) {
		l.emit(Resign{"the leader key has changed"})
		return
	}
	if m.Result.Rejected {
		// The limits of the store have fallen below the limits in the settings.
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

// keyRead dispatches the value of a key by the tag of its read.
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
