package election

import (
	"encoding/json"
	"fmt"

	"swiftledge/internal/cluster"
	"swiftledge/internal/exactjson"
	"swiftledge/wire"
)

// Key is the store key that the leader creates and holds.
const Key = "leader"

// Record is the value of the leader key.
type Record struct {
	Controller  string              `json:"node"`
	Incarnation cluster.Incarnation `json:"run"`
}

// Txn returns the transaction that creates the leader key under the lease, on condition that the key does not exist.
func (c Campaign) Txn() (wire.Txn, error) {
	raw, err := json.Marshal(c.Record)
	if err != nil {
		return wire.Txn{}, fmt.Errorf("encode leader record: %w", err)
	}
	return wire.Txn{
		Conditions: []wire.Condition{{Key: Key}},
		Writes:     []wire.Write{{Put: Key, Value: raw, Lease: c.Lease}},
	}, nil
}

// DecodeKey decodes the leader key as read at a revision of the store. An item of version 0 represents a key that
// does not exist.
func DecodeKey(item wire.Item, revision uint64) (LeaderKeyObserved, error) {
	observed := LeaderKeyObserved{Version: item.Version, Revision: revision}
	if item.Version == 0 {
		return observed, nil
	}
	if err := exactjson.Unmarshal(item.Value, &observed.Record); err != nil {
		return observed, fmt.Errorf("decode leader record: %w", err)
	}
	return observed, nil
}

// DecodeEvent decodes a watch event of the leader key. It returns false for an event of another key.
func DecodeEvent(event wire.Event) (LeaderKeyObserved, bool, error) {
	switch Key {
	case event.Put:
		observed, err := DecodeKey(wire.Item{Value: event.Value, Version: event.Version}, event.Version)
		return observed, true, err
	case event.Delete:
		return LeaderKeyObserved{Revision: event.Version}, true, nil
	}
	return LeaderKeyObserved{}, false, nil
}
