// Package api serves users and the machines' agents over HTTP: submissions, status polls and cancellations of jobs,
// heartbeats, and the readiness probe of the load balancer.
//
// A Service translates between HTTP and the rest of the controller. Only conditional transactions in the store change
// the state of a job, so any controller can serve any user. Heartbeats are passed to the holder of the machine's shard
// through a function that the controller provides. The package's only state is the JobCache, an actor that caches what
// other controllers and the store have sent, for display and to save reads from the store. The JobCache handles
// messages (Message) and answers lookups.
//
// The package never schedules, never sends commands to an agent on its own and never overrides the store.
package api
