package wire

import "encoding/json"

// The store's protocol: reads and lists of keys, transactions (POST /multi), leases (POST /grants) and
// watches (GET /watch). Its words in the tags below, and the terms that they stand for:
//
//	path    key
//	v       value
//	stamp   version: the revision of the key's last change
//	tenure  lease
//	rows    items
//	ledger  revision of the store
//	guards  conditions of a transaction
//	news    events of a watch

// Item is one key of the store.
type Item struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"v"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"tenure,omitempty"`
}

// ItemList is one page of keys.
type ItemList struct {
	Items    []Item `json:"rows"`
	More     bool   `json:"more"`
	Revision uint64 `json:"ledger"`
}

// Condition holds if the key has the version; version 0 stands for a key that does not exist.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Write is one put, attached to the lease if there is one, or one delete.
type Write struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Lease  uint64          `json:"tenure,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Txn is a transaction: all writes are carried out at once if all conditions hold, else none.
type Txn struct {
	Conditions []Condition `json:"guards"`
	Writes     []Write     `json:"writes"`
}

// TxnResponse answers a transaction with 200 or, with the keys whose conditions failed, with 409.
type TxnResponse struct {
	Revision uint64   `json:"ledger"`
	Failed   []string `json:"failed,omitempty"`
	Error    string   `json:"error,omitempty"`
}

// LeaseRequest asks for a lease of the store.
type LeaseRequest struct {
	TTLMs int64 `json:"ttlMs"`
}

// LeaseResponse names the lease that was granted.
type LeaseResponse struct {
	Lease uint64 `json:"tenure"`
}

// Event is one change seen by a watch: a put or a delete.
type Event struct {
	Put     string          `json:"put,omitempty"`
	Value   json.RawMessage `json:"v,omitempty"`
	Version uint64          `json:"stamp"`
	Delete  string          `json:"delete,omitempty"`
}

// WatchResponse holds the changes since the revision that was asked for.
type WatchResponse struct {
	Revision uint64  `json:"ledger"`
	Events   []Event `json:"news"`
}
