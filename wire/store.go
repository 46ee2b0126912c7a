package wire

import "encoding/json"

// The store's protocol: reads and lists of keys, transactions (POST /multi), leases (POST /grants) and watches
// (GET /watch). The tags below use these words of the protocol for the following terms:
//
//	path    key
//	v       value
//	stamp   version: the revision of a key's last change
//	tenure  lease
//	rows    items
//	ledger  revision of the store
//	guards  conditions of a transaction
//	news    events of a watch

// Item is one key of the store with its value, its version and the lease that it is attached to, if any.
type Item struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"v"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"tenure,omitempty"`
}

// ItemList is one page of a list of keys.
type ItemList struct {
	Items    []Item `json:"rows"`
	More     bool   `json:"more"`
	Revision uint64 `json:"ledger"`
}

// Condition is a condition of a transaction. It holds if the key has the given version. Version 0 means that the key
// does not exist.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Write is one put or one delete. A put key is attached to the lease, if one is given.
type Write struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Lease  uint64          `json:"tenure,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Txn is a transaction. The store applies all writes atomically if all conditions hold, and none otherwise.
type Txn struct {
	Conditions []Condition `json:"guards"`
	Writes     []Write     `json:"writes"`
}

// TxnResponse is the response to a transaction: status 200 if it was committed, or 409 with the keys whose conditions
// failed.
type TxnResponse struct {
	Revision uint64   `json:"ledger"`
	Failed   []string `json:"failed,omitempty"`
	Error    string   `json:"error,omitempty"`
}

// LeaseRequest asks the store for a lease.
type LeaseRequest struct {
	TTLMs int64 `json:"ttlMs"`
}

// LeaseResponse contains the ID of the granted lease.
type LeaseResponse struct {
	Lease uint64 `json:"tenure"`
}

// Event is one change that a watch reports: a put or a delete.
type Event struct {
	Put     string          `json:"put,omitempty"`
	Value   json.RawMessage `json:"v,omitempty"`
	Version uint64          `json:"stamp"`
	Delete  string          `json:"delete,omitempty"`
}

// WatchResponse holds the changes since the requested revision.
type WatchResponse struct {
	Revision uint64  `json:"ledger"`
	Events   []Event `json:"news"`
}
