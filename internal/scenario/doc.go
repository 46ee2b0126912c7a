// Package scenario simulates small clusters in simulated time. It contains only tests. A world has real
// controllers (their electors, leaders, shard holders and user services), the fakes of package fake, a simulated
// network and users. Its event queue runs all events in an order that depends only on the world's seed, so a
// scenario is reproducible. Scenarios are text files in testdata. Package rapid generates random faults. Scenarios
// and random faults both run in a world, which delivers messages to the actors, executes the effects that the
// actors return, and checks the users' rules: no task runs twice, no accepted job is lost, no response is older
// than an earlier one, quotas hold, and no job waits while there is free capacity for it. Nothing here reads a
// clock, sleeps or opens a connection.
package scenario
