// Package compat holds tests alone. They freeze all that leaves the program: the bytes of stored values, of
// messages between controllers and of the four protocols, the choices that all controllers must make alike, and
// the texts of errors that operators and users are told. Samples that the version in production has written, in
// testdata, are read by this version, and what this one writes is read by frozen copies of production's types.
// Nothing here may change with a rename: a difference is a break of compatibility.
package compat
