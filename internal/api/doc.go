// Package api serves users and the workers' agents over HTTP: submissions, polls and cancellations of jobs,
// heartbeats, and the readiness probe of the load balancer.
//
// A Service translates between HTTP and the rest of the controller. What becomes of a job is decided by
// conditional transactions in the store alone, so that any controller may serve any user; heartbeats are
// handed to whoever holds the machine's shard, through a function that the controller provides. The one
// state that is kept here is the JobCache, an actor that remembers what other controllers and the store have
// told, for display and to spare the store reads. It takes messages (Message) and answers lookups.
//
// The package never schedules, never commands a worker by itself and never overrides what the store says.
package api
