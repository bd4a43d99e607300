// Package resource defines the resource vector that workers offer and that
// tasks and requests ask for.
package resource
