// Package scenario plays small clusters in simulated time and holds tests alone. A world has real controllers
// (their electors, leaders, holders and user services), the fakes of package fake, a simulated network and
// users. Its event queue calls everything in an order that depends on nothing but the world's seed, so a
// scenario repeats exactly. Scenarios are text files in testdata, random faults come from package rapid; both
// bring messages in, carry out the effects that the actors return, and judge the users' rules: no task runs
// twice, no accepted job is lost, no answer is older than one before, quotas hold, work does not wait beside
// free capacity. Nothing here reads a clock, sleeps or opens a connection.
package scenario
