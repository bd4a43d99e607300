// Package config determines which published configuration is in force. It is a
// deterministic state machine without I/O over the records of the stream "config" in
// log order. Readers that apply the same records reach the same decisions,
// regardless of the retained offset at which they start.
package config
