// Package idempotency decides what happens to a request that carries an
// idempotency key: run it, repeat its stored outcome, wait for the attempt in
// flight, or refuse it. One Table belongs to one key shard and has one owner.
//
// Invariant: an attempt is sent to a worker only after its Intent record is in the
// shard's stream, and an Intent of a higher generation is written only after the
// attempt before it is known never to have run. So at most one attempt of a key
// has ever run.
package idempotency
