// Package peer implements the protocol between controllers: msgpack messages over plain TCP. While two controllers
// cannot reach each other directly, they are linked through the store: the messages are carried in frames, which are
// values in the store.
//
// Shard holders dial the leader, which accepts links through a Server. A link carries FromLeader messages in one
// direction and ToLeader messages in the other. A broken link is never resumed: the leader grants the shards again,
// with new fencing tokens. A link owns its connection and the goroutine that writes to the connection, and these end
// with the link. The package makes no decisions: the caller determines who leads and how messages are handled.
//
// Messages are encoded as arrays of their fields, and the decoder rejects an array of another length. During an
// upgrade, two versions communicate with each other, so these arrays must not change. wire.Job and wire.MachineType
// are encoded as maps and may get new fields.
package peer
