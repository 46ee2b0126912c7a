// Package wire declares the JSON bodies of the four protocols that swiftledge uses: with users (users.go), with the
// agents on the machines (agents.go), with the cloud (cloud.go) and with the store (store.go). It contains plain data:
// identifiers, string enumerations and the structs that cross the network. It has no behaviour beyond their
// conversion, performs no I/O and validates nothing.
//
// Go names are the usual terms of cluster scheduling. The protocols have their own words for many of them, which appear
// only in struct tags. Each file begins with a list of its protocol's words and the terms that they stand for. The tags
// are fixed because programs of other owners read them.
package wire
