// Package logclient is the client of the platform's log service: appends whose lost
// answer is settled by reading the stream back, reads, tails by long poll, and a
// group commit writer per stream.
package logclient
