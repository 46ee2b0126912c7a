// Package wire declares the JSON bodies of the four protocols that swiftledge speaks: with users
// (users.go), with the agents on the workers (agents.go), with the cloud (cloud.go) and with the store
// (store.go). It holds plain data: the identifiers, the closed sets of strings and the structs that
// cross the network, and no behaviour beyond their conversion. It never does I/O and validates nothing.
//
// Go names are the usual terms of cluster scheduling. The protocols have words of their own for many of
// them; these stand in struct tags alone, and each file begins with the list of its protocol's words and
// the terms that they stand for. The tags are fixed: they are read by programs of other owners.
package wire
