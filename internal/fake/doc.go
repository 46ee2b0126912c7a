// Package fake holds in-memory fakes of the state service, the cloud and the agent. They follow the protocols of
// these services. Each fake owns its state: Store owns the keys, leases and the change log, Cloud the provisioned
// instances, and Agent the tasks of one machine. A fake does no I/O, starts no goroutine and reads no clock.
// The caller passes the time in, so a simulation that makes the same calls gets the same answers. The fakes are
// not safe for concurrent use. They never drop, delay or repeat a message: the caller simulates network faults.
package fake
