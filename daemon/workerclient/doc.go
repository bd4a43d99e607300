// Package workerclient is the client of the worker protocol. It judges liveness
// per connection: a call without an answer for CallTimeout closes its connection
// and is repeated on a new one, so one silent connection never holds up the others.
package workerclient
