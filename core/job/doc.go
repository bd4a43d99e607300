// Package job holds the jobs and tasks of one key shard and decides their next
// steps. It does no I/O: the owner of the shard appends the records that it
// returns, applies them once the append is confirmed, and carries out the steps.
//
// Invariants:
//   - A start is sent only after its Intent record is in the shard's stream.
//   - An Intent of a higher generation is written only after the attempt before it
//     has ended or is known never to have started. So a task runs in one place.
//   - A job that was accepted is never dropped: each of its tasks ends as
//     succeeded, failed or cancelled.
package job
