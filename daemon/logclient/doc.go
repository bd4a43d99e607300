// Package logclient is the client of the platform's log service: appends that
// settle a lost answer by reading back, tails, and writers that commit in groups.
//
// Invariant: an append is sent once. When its answer is lost, the stream is read
// back for the record's id; if that does not settle it, the outcome is
// fault.Unknown and the caller has to live with a record that may land later.
package logclient
