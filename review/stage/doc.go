// Package stage has the stand-ins that the review's scripts use: a state service, a cloud, workers and users, all on
// loopback addresses and the real clock, and the controllers as separate processes. The decisions of the state service,
// the cloud and the workers are those of the project's fakes (package fake). This package serves them over HTTP as
// PROTOCOL-swiftledge.md says. What was sent, answered and run is written to a record.
package stage
