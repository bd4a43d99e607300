// Package settings reads the settings of one daemon from JSON with comments. One
// table of fields drives reading, printing of defaults and the check of what may
// change while the daemon runs.
package settings
