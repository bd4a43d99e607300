// Package record defines the records of the log stream "members" and their codec.
// One append carries one or more records, one JSON document a line, so that a
// group commit of several records stays readable line by line.
package record
