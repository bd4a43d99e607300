// Package audit checks a configuration before it is published: errors, entries that can never match,
// limits that contradict each other, and what differs from the version in force. It names keys by their
// position only.
package audit
