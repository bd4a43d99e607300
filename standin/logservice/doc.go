// Package logservice is an in-memory stand-in for the platform's append-only log
// service, with a cap on appends, retention, and faults that tests switch on.
package logservice
