package shard

import (
	"fmt"
	"hash/fnv"
	"strconv"

	"swiftledge/internal/peer"
)

// KeyPrefix is the prefix of the store keys that record the holder of each shard.
const KeyPrefix = "block/"

// attemptsPrefix is the prefix of the store keys of all attempt pages.
const attemptsPrefix = "run/"

// ForMachine returns the number of the shard that a machine belongs to, given the number of shards.
func ForMachine(machine string, shards int) int {
	hash := fnv.New32a()
	hash.Write([]byte(machine))
	return int(hash.Sum32() % uint32(shards))
}

// Key returns the store key that records the holder of a shard.
func Key(shard int) string { return KeyPrefix + paddedShardNumber(shard) }

// AttemptPrefix returns the prefix of the store keys of a shard's attempt pages.
func AttemptPrefix(shard int) string { return attemptsPrefix + paddedShardNumber(shard) + "/" }

// TaskName returns the name of a task in the protocol with the agents.
func TaskName(task peer.Task) string { return task.Job + "/" + strconv.Itoa(task.Index) }

// paddedShardNumber returns the number of a shard with three digits.
func paddedShardNumber(shard int) string { return fmt.Sprintf("%03d", shard%1000) }
