// Package scenario plays small clusters of our own actors against the stand-ins,
// in simulated time and always the same way, and watches the users' rules. It holds
// tests alone.
package scenario
