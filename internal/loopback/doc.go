// Package loopback runs a small cluster over real HTTP on 127.0.0.1: fakes of the state service, the cloud, the
// agents and the users, and real controllers as processes. One actor, the environment, owns the state of all fakes.
// Its HTTP services turn requests into calls of that actor, and its agents send heartbeats to the controllers.
// Every link between two parties can be refused, delayed, or cut in one direction. A Cluster owns all of these
// parts: Stop ends the processes, services, links and goroutines, and waits for them. The package uses real time, so
// its runs are not deterministic. Package scenario is the deterministic counterpart.
package loopback
