// Package resource defines the resource vector for the capacity of workers and the demands of
// tasks and requests.
package resource
