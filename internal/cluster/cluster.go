// Package cluster defines the identifiers that all parts of a controller share.
package cluster

// Term identifies a period of leadership. The term is the version of the leader key that the leader created, so a later
// term is a higher number. 0 means no term.
type Term uint64

// Incarnation identifies one run of a controller's process, so that a process does not mistake what an earlier run has
// created for its own.
type Incarnation uint64

// JobKeyPrefix is the prefix of the store keys of jobs that have neither ended nor been cancelled. The job's reference
// follows the prefix.
const JobKeyPrefix = "job/"
