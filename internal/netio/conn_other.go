//go:build !linux

// Package netio makes TCP connections that cost little processor time; elsewhere than on Linux they are those of
// package net.
package netio

import "net"

// Wrap returns the connection as it is.
func Wrap(conn net.Conn) net.Conn { return conn }
