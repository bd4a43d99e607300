// Package admission queues requests, sheds those whose predicted wait exceeds their
// deadline, limits retries, and leases portions of team quotas. It reads no clock:
// now is a time.Duration on the monotonic boot clock of the calling process.
package admission
