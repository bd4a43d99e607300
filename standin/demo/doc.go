// Package demo sends the work of the two example users to running cells as their callers
// do, and compares the answers with what ran according to the workers' journals.
package demo
