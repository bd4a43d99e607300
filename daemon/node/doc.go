// Package node assembles one daemon from its parts, runs it, and stops it
// gracefully.
package node
