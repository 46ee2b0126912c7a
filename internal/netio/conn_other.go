//go:build !linux

// Package netio provides TCP connections with a low CPU cost per message. On systems other than Linux, they are the
// connections of package net.
package netio

import "net"

// Wrap returns the connection unchanged.
func Wrap(conn net.Conn) net.Conn { return conn }
