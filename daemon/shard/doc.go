// Package shard runs the key shards that this daemon owns. Each shard has one
// goroutine that owns its jobs and idempotency keys and the shard's log stream.
//
// A shard is served only after its stream was replayed up to this owner's own Open
// record, and only while the ownership lease is valid. Every step that could start
// work is preceded by a confirmed record, and the lease is checked again after the
// record is confirmed: a successor claims the shard only after the lease has
// expired, so it finds every record of a start that may have been sent.
package shard
