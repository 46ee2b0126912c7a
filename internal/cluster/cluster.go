// Package cluster has the identifiers that all parts of a controller share.
package cluster

// Term identifies one leader's time in office: the version of the leader key that it created. A later
// leader's term is higher; 0 is no term.
type Term uint64

// Incarnation identifies one run of a controller's process, so that nothing from before a restart is taken
// for its own.
type Incarnation uint64
