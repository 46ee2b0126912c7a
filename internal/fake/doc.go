// Package fake holds in-memory fakes of the state service, the cloud and the worker, written from their
// protocols. Each owns its state: Store the keys, leases and the change log, Cloud the instances that were
// provisioned, Worker the tasks of one machine. A fake does no I/O, starts no goroutine and reads no clock:
// the caller passes the time in, so a simulation that makes the same calls gets the same answers. The fakes
// are not safe for concurrent use, and never drop, delay or repeat a message: network faults are the caller's.
package fake
