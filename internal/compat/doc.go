// Package compat contains only tests. They freeze everything that leaves the process: the bytes of stored values, of
// messages between controllers and of the four protocols, the computed values that must be the same in all
// controllers, and the error texts for operators and users. This version must read the samples in testdata, which the
// version in production wrote, and frozen copies of production's types must read what this version writes.
// No expected value here may change with a rename: any difference breaks compatibility.
package compat
