// Package peer is the protocol between controllers: messages in msgpack over plain TCP, or in frames through the
// state service while two controllers can't reach each other.
//
// Holders of shards dial the leader, which answers through a Server; a link carries FromLeader one way and ToLeader
// the other. A link that breaks is never resumed: the leader grants the shards anew, under new fencing tokens. A link
// owns its connection and the goroutine that writes to it, both of which end with the link. The package decides
// nothing: who leads, and what is done on a message, is the caller's.
//
// Messages are arrays of their fields, and their reader refuses an array with a field more or less. While an upgrade
// goes on, two versions speak to each other, so these arrays stay as they are; wire.Job and wire.MachineType travel
// as maps and may grow.
package peer
