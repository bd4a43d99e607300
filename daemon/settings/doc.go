// Package settings reads the settings of one daemon from a JSON file with comments.
// A single table of fields drives parsing, printing of the defaults and the check of
// which settings may change while the daemon runs.
package settings
