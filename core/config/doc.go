// Package config decides which published configuration is in force. It is a pure
// state machine over the records of the stream "config" in log order: every reader
// that applies the same records reaches the same decisions, from whichever retained
// offset it starts.
package config
