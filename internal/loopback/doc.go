// Package loopback plays a small site over real HTTP on 127.0.0.1: fakes of the state service, the cloud, the
// workers and the users, and real controllers as processes. One actor, the site, owns the state of all fakes;
// its HTTP services turn requests into calls of that actor, and its workers send heartbeats to the controllers.
// Every link between two parties can be refused, delayed, or cut in one direction. A Cluster owns all of it:
// Stop ends the processes, services, links and goroutines, and waits for them. Time is real, so nothing here is
// deterministic; package scenario is the deterministic counterpart.
package loopback
