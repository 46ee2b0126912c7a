package shard

import (
	"fmt"
	"hash/fnv"
	"strconv"

	"swiftledge/internal/peer"
)

// KeyPrefix is where the store keeps who holds each shard.
const KeyPrefix = "block/"

// attemptsPrefix is where the store keeps the attempt pages of all shards.
const attemptsPrefix = "run/"

// ForMachine returns the shard, out of the given number, that a machine belongs to.
func ForMachine(machine string, shards int) int {
	hash := fnv.New32a()
	hash.Write([]byte(machine))
	return int(hash.Sum32() % uint32(shards))
}

// Key returns the store key that says who holds a shard.
func Key(shard int) string { return KeyPrefix + paddedNumber(shard) }

// AttemptPrefix returns the beginning of the store keys of a shard's attempt pages.
func AttemptPrefix(shard int) string { return attemptsPrefix + paddedNumber(shard) + "/" }

// TaskName returns the name of a task in the agents' protocol.
func TaskName(task peer.Task) string { return task.Job + "/" + strconv.Itoa(task.Index) }

// paddedNumber returns a shard's number in three digits.
func paddedNumber(shard int) string { return fmt.Sprintf("%03d", shard%1000) }
