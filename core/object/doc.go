// Package object defines the objects that an operator publishes, reads them from
// JSON with comments, and checks a whole set with every reference in it.
package object
