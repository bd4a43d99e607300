// Package router is the request path of an entry daemon. One goroutine owns the
// queues and the slots borrowed from the owners of rack units; callers' goroutines
// talk to it by messages, send the starts and resolve their outcomes.
package router
